#pragma once

#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "wire/exchange_state.h"
#include "wire/http_server.h"
#include "wire/intake_budget.h"
#include "wire/loop.h"

struct st_h2o_socket_t;

namespace almondtally::detail {

class ServerConnection;

/// What the connections of one listener share.
struct ServerState {
  explicit ServerState(EventLoop& event_loop) : loop(event_loop) {}

  EventLoop& loop;
  ServerLimits limits;
  ExchangeHandler handler;
  std::shared_ptr<IntakeBudget> budget;
  st_h2o_socket_t* listener = nullptr;
  /// Ordered by the time at which a connection was accepted or had its last
  /// request served.
  std::list<std::shared_ptr<ServerConnection>> connections;
  size_t open_exchanges = 0;
  bool shut_down = false;
  bool sweeping = false;
};

/// The protocol that a connection speaks. All functions are called from the
/// event loop.
class ServerProtocol {
 public:
  virtual ~ServerProtocol() = default;

  virtual void HandleInput(std::string_view bytes) = 0;
  /// All output has been passed to the kernel.
  virtual void HandleSent() = 0;
  /// The connection has been closed; no other function is called afterwards.
  virtual void HandleClosed() = 0;
  /// Closes the connection or gives up a request if its time is over.
  virtual void CheckTimeouts(MonotonicTime now) = 0;
  virtual void Shutdown() = 0;
  /// @return false if input stays in the kernel for now.
  virtual bool wants_input() const = 0;
  /// @return true if a request is being served, up to its complete answer.
  virtual bool serving() const = 0;
};

/// A connection of a listener: reads bounded pieces, and writes without
/// blocking.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(ServerState& server, st_h2o_socket_t* sock);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// Registers the connection and begins to read.
  static void Open(ServerState& server, st_h2o_socket_t* sock);

  /// Sends bytes after those that are still unsent.
  void Send(std::string_view bytes);
  /// Reads again after `wants_input` was false.
  void ResumeReading();
  /// Closes the connection immediately. Resets it if output is unsent, so that
  /// the caller does not take what it has received for all.
  void Close();
  /// Closes the connection with a reset.
  void Reset();
  /// Tells the caller that no more is sent, once all output has been passed to
  /// the kernel. What the caller still sends must be discarded: closing with
  /// unread input would reset the connection before the answer is read.
  void FinishSending();
  /// Runs a function from the event loop unless the connection is closed by
  /// then.
  void RunLater(std::function<void()> fn);
  /// A request has been served: the connection is now the most recent one.
  void MarkServed();
  /// Logs and counts a refusal or a connection closed early.
  /// @param status of the answer; 0 if there is none.
  /// @param bytes announced or received.
  void Report(IntakeEvent event, int status, size_t bytes);

  ServerState& server() { return server_; }
  bool closed() const { return sock_ == nullptr; }
  size_t unsent() const { return output_.size() - output_sent_; }
  bool served_any() const { return served_any_; }
  /// @return when output was last passed to the kernel.
  MonotonicTime last_sent() const { return last_sent_; }
  const ServerProtocol& protocol() const { return *protocol_; }
  ServerProtocol& protocol() { return *protocol_; }

 private:
  static void OnReadable(st_h2o_socket_t* sock, const char* err);
  static void OnWritable(st_h2o_socket_t* sock, const char* err);

  void Read();
  void SendOutput();
  void SetReceiveBuffer(size_t bytes);
  std::string CallerAddress() const;

  ServerState& server_;
  st_h2o_socket_t* sock_;
  std::unique_ptr<ServerProtocol> protocol_;
  std::list<std::shared_ptr<ServerConnection>>::iterator place_;
  std::string output_;
  size_t output_sent_ = 0;
  MonotonicTime last_sent_{};
  bool waits_for_writable_ = false;
  bool reading_ = false;
  bool finish_sending_ = false;
  bool broken_ = false;
  bool received_any_ = false;
  bool served_any_ = false;
};

/// Bytes that a connection counts for besides requests and answers.
inline constexpr size_t kConnectionBytes = 4 << 10;

/// @return an HTTP date of the present second.
const std::string& HttpDate();

/// @return true for fields that the connection sets itself.
bool IsConnectionField(std::string_view name);

std::unique_ptr<ServerProtocol> MakeHttp1Protocol(ServerConnection& connection);
std::unique_ptr<ServerProtocol> MakeHttp2Protocol(ServerConnection& connection);

}  // namespace almondtally::detail
