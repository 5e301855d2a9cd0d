#pragma once

#include "fescue/config/errorlist.h"
#include "fescue/serving/configcheck.h"
#include "fescue/tools/publication.h"
#include "fescue/tools/rollout.h"
#include "options.h"

#include <optional>
#include <string>
#include <vector>

namespace fescue::ctl {

// Each function prints one result: as text, or as one JSON object where the options ask for it.

void reportError(const Options &options, const Error &error);
void reportErrors(const Options &options, const ErrorList &errors);

// The files are valid.
void reportDeclaration(const Options &options, const Snapshot &snapshot);

// What publishing the files would change.
void reportChanges(const Options &options, ConfigVersion published,
                   const std::vector<std::string> &changes);

// What was found in a configuration of the users' platform, and what it changes; nothing where it
// was not compared.
void reportFindings(const Options &options, ConfigVersion version,
                    const std::vector<serving::ConfigFinding> &findings,
                    const std::optional<std::vector<std::string>> &changes);

void reportPublished(const Options &options, const tools::Published &published,
                     const std::vector<tools::MemberStatus> &statuses);

void reportPublishFailure(const Options &options, const tools::PublishFailure &failure);

void reportStatus(const Options &options, const Snapshot &snapshot,
                  const std::vector<tools::MemberStatus> &statuses);

} // namespace fescue::ctl
