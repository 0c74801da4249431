#pragma once

#include <functional>
#include <string_view>

#include "wire/http_types.h"

namespace almondtally::detail {

/// An exchange as the connection that carries it implements it. `Exchange`
/// describes the functions.
class ExchangeState {
 public:
  ExchangeState() = default;
  virtual ~ExchangeState() = default;
  ExchangeState(const ExchangeState&) = delete;
  ExchangeState& operator=(const ExchangeState&) = delete;

  virtual bool closed() const = 0;
  virtual void Answer(int status, const Headers& headers,
                      std::string_view body) = 0;
  virtual void Begin(int status, const Headers& headers) = 0;
  virtual void Write(std::string_view chunk) = 0;
  virtual void End() = 0;
  virtual void Abort() = 0;
  virtual size_t queued() const = 0;
  virtual bool KeepOnly(size_t bytes) = 0;

  HttpRequest request;
  std::function<void()> on_drained;
  std::function<void()> on_disconnected;
};

}  // namespace almondtally::detail
