#pragma once

#include "http/Response.h"

namespace cranberryreel::http
{

/// Writes a short answer straight to a socket whose request was never read whole, as far as the socket takes it without waiting. The connection must be
/// closed afterwards.
void sendRawAnswer(int socket, const Response &response);

} // namespace cranberryreel::http
