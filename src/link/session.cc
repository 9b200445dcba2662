#include "src/link/session.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace bergamotscale::link {
namespace {

constexpr uint32_t kStreamWindowBytes = 8 * 1024 * 1024;
constexpr int32_t kConnectionWindowBytes = 64 * 1024 * 1024;
constexpr uint32_t kMaxStreams = 1000000;
// Withdrawn reservations reset many streams, so the library's limit of resets
// is effectively disabled; the peers are trusted.
constexpr uint64_t kMaxResetsPerSecond = 1000000;

Connection* ConnectionOf(void* user_data) {
  return static_cast<Connection*>(user_data);
}

int OnHeader(nghttp2_session* /*session*/,
             const nghttp2_frame* frame,
             const uint8_t* name,
             size_t name_length,
             const uint8_t* value,
             size_t value_length,
             uint8_t /*flags*/,
             void* user_data) {
  const std::string_view name_view(reinterpret_cast<const char*>(name),
                                   name_length);
  if (name_view == ":path") {
    ConnectionOf(user_data)->OnPath(
        frame->hd.stream_id,
        std::string_view(reinterpret_cast<const char*>(value), value_length));
  }
  return 0;
}

int OnFrame(nghttp2_session* /*session*/,
            const nghttp2_frame* frame,
            void* user_data) {
  Connection* connection = ConnectionOf(user_data);
  const int32_t id = frame->hd.stream_id;
  if (frame->hd.type == NGHTTP2_SETTINGS) {
    connection->OnSettings();
  } else if (frame->hd.type == NGHTTP2_GOAWAY) {
    connection->OnGoAway();
  } else if (frame->hd.type == NGHTTP2_HEADERS ||
             frame->hd.type == NGHTTP2_DATA) {
    if (frame->hd.type == NGHTTP2_HEADERS &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      connection->OnRequest(id);
    }
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      connection->OnPeerFinished(id);
    }
  }
  return 0;
}

int OnDataChunk(nghttp2_session* /*session*/,
                uint8_t /*flags*/,
                int32_t id,
                const uint8_t* data,
                size_t length,
                void* user_data) {
  ConnectionOf(user_data)->OnData(
      id, std::string_view(reinterpret_cast<const char*>(data), length));
  return 0;
}

int OnStreamClose(nghttp2_session* /*session*/,
                  int32_t id,
                  uint32_t /*error_code*/,
                  void* user_data) {
  ConnectionOf(user_data)->OnStreamClosed(id);
  return 0;
}

ssize_t ReadOutput(nghttp2_session* /*session*/,
                   int32_t id,
                   uint8_t* target,
                   size_t size,
                   uint32_t* flags,
                   nghttp2_data_source* /*source*/,
                   void* user_data) {
  return ConnectionOf(user_data)->ReadOutput(id, target, size, flags);
}

nghttp2_nv HeaderOf(std::string_view name, std::string_view value) {
  const auto bytes = [](std::string_view text) {
    return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

nghttp2_data_provider DataProvider() {
  nghttp2_data_provider provider = {};
  provider.read_callback = &ReadOutput;
  return provider;
}

void SetCallbacks(nghttp2_session_callbacks* callbacks) {
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            &OnDataChunk);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         &OnStreamClose);
}

void SetOptions(nghttp2_option* option) {
  nghttp2_option_set_peer_max_concurrent_streams(option, kMaxStreams);
  nghttp2_option_set_no_closed_streams(option, 1);
  nghttp2_option_set_stream_reset_rate_limit(option, kMaxResetsPerSecond,
                                             kMaxResetsPerSecond);
}

void SubmitSettings(nghttp2_session* session) {
  const std::array<nghttp2_settings_entry, 2> settings = {
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes}}};
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
}

}  // namespace

nghttp2_session* NewSession(Connection* connection, Role role) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_option* option = nullptr;
  nghttp2_session* session = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_option_new(&option);
  SetCallbacks(callbacks);
  SetOptions(option);
  if (role == Role::kClient) {
    nghttp2_session_client_new2(&session, callbacks, connection, option);
  } else {
    nghttp2_session_server_new2(&session, callbacks, connection, option);
  }
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  SubmitSettings(session);
  return session;
}

int32_t SubmitRequest(nghttp2_session* session, const std::string& path) {
  const std::array<nghttp2_nv, 4> headers = {
      HeaderOf(":method", "POST"), HeaderOf(":scheme", "http"),
      HeaderOf(":authority", "link"), HeaderOf(":path", path)};
  const nghttp2_data_provider provider = DataProvider();
  return nghttp2_submit_request(session, nullptr, headers.data(),
                                headers.size(), &provider, nullptr);
}

void SubmitResponse(nghttp2_session* session, int32_t id) {
  const std::array<nghttp2_nv, 1> headers = {HeaderOf(":status", "200")};
  const nghttp2_data_provider provider = DataProvider();
  nghttp2_submit_response(session, id, headers.data(), headers.size(),
                          &provider);
}

}  // namespace bergamotscale::link
