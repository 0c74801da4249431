#include "wire/intake_budget.h"

namespace almondtally {

std::string_view ToString(IntakeEvent event) {
  switch (event) {
    case IntakeEvent::kNoRoom:
      return "no_room";
    case IntakeEvent::kBodyTooLarge:
      return "body_too_large";
    case IntakeEvent::kHeadTooLarge:
      return "head_too_large";
    case IntakeEvent::kMalformed:
      return "malformed";
    case IntakeEvent::kEvicted:
      return "evicted";
    case IntakeEvent::kConnectionEvicted:
      return "connection_evicted";
    case IntakeEvent::kConnectionRefused:
      return "connection_refused";
    case IntakeEvent::kArrivalTimeout:
      return "arrival_timeout";
    case IntakeEvent::kAnswerUnread:
      return "answer_unread";
    case IntakeEvent::kCount:
      break;
  }
  return "unknown";
}

/// @return the request that is given up next, or null.
IntakeAccount* IntakeBudget::FindVictim(const IntakeAccount& account,
                                        bool small, MonotonicTime now) {
  IntakeAccount* oldest = nullptr;
  for (IntakeAccount* it : arriving_) {
    if (it == &account || it->bytes_ == 0) continue;
    if (!small && now - it->last_progress_ < kStalledAfter) return oldest;
    if (it->bytes_ > kSmallBytes) return it;
    if (oldest == nullptr) oldest = it;
  }
  return oldest;
}

/// @return the bytes that all requests may hold with one of the given size.
size_t IntakeBudget::RoomFor(size_t bytes) const {
  const size_t room = limits_.max_bytes;
  if (bytes <= kOrdinaryBytes) return room;
  return bytes <= kSmallBytes ? room - room / 8 : room - room / 4;
}

bool IntakeBudget::MakeRoom(IntakeAccount& account, size_t bytes,
                            MonotonicTime now) {
  const bool small = bytes <= kSmallBytes;
  const size_t limit = RoomFor(bytes);
  const size_t more = bytes - account.bytes_;
  while (bytes_ + more > limit) {
    IntakeAccount* victim = FindVictim(account, small, now);
    if (victim == nullptr) return false;
    victim->EndArrival();
    const size_t before = bytes_;
    victim->evict_();
    if (bytes_ >= before) return false;
  }
  return true;
}

IntakeAccount::~IntakeAccount() {
  EndArrival();
  budget_.bytes_ -= bytes_;
}

bool IntakeAccount::Hold(size_t bytes, MonotonicTime now) {
  if (bytes > bytes_ && !budget_.MakeRoom(*this, bytes, now)) return false;
  budget_.bytes_ += bytes;
  budget_.bytes_ -= bytes_;
  bytes_ = bytes;
  return true;
}

void IntakeAccount::BeginArrival(MonotonicTime now) {
  if (arriving_) return;
  arriving_ = true;
  last_progress_ = now;
  bytes_since_progress_ = 0;
  place_ = budget_.arriving_.insert(budget_.arriving_.end(), this);
}

void IntakeAccount::AddProgress(size_t bytes, MonotonicTime now) {
  if (!arriving_) return;
  bytes_since_progress_ += bytes;
  if (bytes_since_progress_ < IntakeBudget::kProgressBytes) return;
  bytes_since_progress_ = 0;
  last_progress_ = now;
  budget_.arriving_.splice(budget_.arriving_.end(), budget_.arriving_, place_);
}

void IntakeAccount::EndArrival() {
  if (!arriving_) return;
  arriving_ = false;
  budget_.arriving_.erase(place_);
}

}  // namespace almondtally
