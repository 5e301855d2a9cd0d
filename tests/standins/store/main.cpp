// Stand-in for the platform's key-value service.
#include "tests/standins/store/storestandin.h"

int main(int argc, char **argv)
{
    fescue::standins::StandInOptions options;
    CLI::App app("Stand-in for the key-value service, see docs/PROTOCOLS.md",
                 "fescue-standin-store");
    options.addTo(app);
    CLI11_PARSE(app, argc, argv);
    fescue::standins::StoreStandIn store;
    return fescue::standins::serve(
        options,
        [&store](const fescue::net::HttpRequest &request, fescue::net::ResponseWriter &writer) {
            store.handle(request, writer);
        });
}
