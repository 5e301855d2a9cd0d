#pragma once

namespace fescue::observe {

// Makes an exception that nothing catches, in whichever thread, leave its text in the log and on
// the standard error before it ends the process.
void logUncaughtExceptions() noexcept;

} // namespace fescue::observe
