#pragma once

#include "http/Response.h"

namespace cranberryreel::http
{

/// Writes a short response directly to a socket whose request was not read completely, as far as possible without blocking. The caller must close the
/// connection afterwards.
void sendRawResponse(int socket, const Response &response);

} // namespace cranberryreel::http
