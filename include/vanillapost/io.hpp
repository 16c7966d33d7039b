#ifndef VANILLAPOST_IO_HPP
#define VANILLAPOST_IO_HPP

/// Umbrella header of the I/O layer: the event loop, HTTP, logs and the client
/// of the platform. Not part of the library that others embed.

#include "src/io/address.hpp"
#include "src/io/client_ledger.hpp"
#include "src/io/event_loop.hpp"
#include "src/io/http_client.hpp"
#include "src/io/http_message.hpp"
#include "src/io/http_server.hpp"
#include "src/io/json_log.hpp"
#include "src/io/metrics.hpp"
#include "src/io/platform_client.hpp"

#endif
