#ifndef VANILLAPOST_SRC_IO_DETAIL_ERROR_ANSWERS_HPP
#define VANILLAPOST_SRC_IO_DETAIL_ERROR_ANSWERS_HPP

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <string_view>

/// Refusals that the HTTP layer gives before any handler sees a request, as
/// application/problem+json.
namespace vanillapost::io::detail {

struct problem
{
    int status;
    std::string_view title;
    std::string_view detail;
    int retry_after_s = 0; ///< 0: trying again does not help
};

/// Answers `request` and closes its connection.
void send_problem(evhttp_request* request, const problem& what);

/// evhttp answers malformed requests itself, with a page of HTML. While the
/// watch is on, such a page is replaced before it goes out.
void watch_error_pages(bufferevent* stream);
void unwatch_error_pages(bufferevent* stream);

} // namespace vanillapost::io::detail

#endif
