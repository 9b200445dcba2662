// Creates nghttp2 sessions that report their events to a Connection.
#ifndef BERGAMOTSCALE_SRC_LINK_SESSION_H_
#define BERGAMOTSCALE_SRC_LINK_SESSION_H_

#include <cstdint>
#include <string>

#include <nghttp2/nghttp2.h>

#include "src/link/connection.h"

namespace bergamotscale::link {

// @return a session for a role, with its SETTINGS queued. The caller deletes it
// with nghttp2_session_del; connection must outlive it.
nghttp2_session* NewSession(Connection* connection, Role role);

// Queues a POST request.
// @return the stream's id, or a negative nghttp2 error code.
int32_t SubmitRequest(nghttp2_session* session, const std::string& path);

// Queues a response with status 200.
void SubmitResponse(nghttp2_session* session, int32_t id);

}  // namespace bergamotscale::link

#endif  // BERGAMOTSCALE_SRC_LINK_SESSION_H_
