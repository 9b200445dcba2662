#include "src/emulator/answer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstring>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bergamotscale::emulator {
namespace {

constexpr double kMedianLength = 120;
constexpr double kLengthSigma = 0.9;
constexpr double kPi = 3.14159265358979323846;
constexpr int64_t kMaxDirectiveLength = 1000000;

constexpr std::array<const char*, 16> kSyllables = {
    "ba", "re", "mi", "to", "lu", "sa", "ne", "ki",
    "do", "fe", "ga", "hu", "jo", "pi", "va", "zo"};
constexpr int kSyllablesPerToken = 3;
constexpr int kSyllableBits = 4;

uint64_t HashText(const std::string& text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t HashNumber(uint64_t number, uint64_t seed) {
  return XXH3_64bits_withSeed(&number, sizeof(number), seed);
}

// @return a number in (0, 1].
double ToUnitInterval(uint64_t hash) {
  constexpr int kMantissaBits = 53;
  const uint64_t mantissa = hash >> (64 - kMantissaBits);
  return std::ldexp(static_cast<double>(mantissa + 1), -kMantissaBits);
}

Tokens DrawLength(uint64_t digest) {
  const double first = ToUnitInterval(HashNumber(digest, 1));
  const double second = ToUnitInterval(HashNumber(digest, 2));
  // Box-Muller, because the standard distributions differ between libraries.
  const double normal =
      std::sqrt(-2 * std::log(first)) * std::cos(2 * kPi * second);
  const double length = kMedianLength * std::exp(kLengthSigma * normal);
  const auto rounded = static_cast<int64_t>(std::llround(length));
  return Tokens(std::clamp<int64_t>(rounded, 1, kMaxAnswerLength.count()));
}

// @return the length in the directive; 0 if there is no valid directive.
int64_t ParseLengthDirective(const std::string& prompt) {
  const size_t start = prompt.rfind(kLengthDirective);
  if (start == std::string::npos) {
    return 0;
  }
  const char* first = prompt.data() + start + std::strlen(kLengthDirective);
  const char* last = prompt.data() + prompt.size();
  int64_t length = 0;
  const auto parsed = std::from_chars(first, last, length);
  const bool closed = parsed.ptr != last && *parsed.ptr == ']';
  if (parsed.ec != std::errc() || !closed) {
    return 0;
  }
  return std::clamp<int64_t>(length, 0, kMaxDirectiveLength);
}

}  // namespace

std::string JoinMessages(const std::vector<ChatMessage>& messages) {
  std::string prompt;
  for (const ChatMessage& message : messages) {
    prompt += message.role_ + ": " + message.content_ + "\n";
  }
  return prompt;
}

Tokens CountPromptTokens(const std::string& prompt) {
  const auto bytes = static_cast<int64_t>(prompt.size());
  return Tokens(std::max<int64_t>(1, bytes / kBytesPerToken));
}

std::vector<uint64_t> HashPrefixBlocks(const ModelId& model,
                                       const std::string& prompt) {
  const size_t block = kBlockTokens.count() * kBytesPerToken;
  std::vector<uint64_t> hashes;
  uint64_t hash = HashText(model.value(), 0);
  for (size_t start = 0; start + block <= prompt.size(); start += block) {
    hash = XXH3_64bits_withSeed(prompt.data() + start, block, hash);
    hashes.push_back(hash);
  }
  return hashes;
}

uint64_t PromptDigest(const ModelId& model, const std::string& prompt) {
  return HashText(prompt, HashText(model.value(), 0));
}

Tokens AnswerLength(const ModelId& model,
                    const std::string& prompt,
                    Tokens max_tokens) {
  const int64_t directed = ParseLengthDirective(prompt);
  const Tokens length =
      directed > 0 ? Tokens(directed) : DrawLength(PromptDigest(model, prompt));
  const bool bounded = max_tokens > Tokens(0) && max_tokens < length;
  return bounded ? max_tokens : length;
}

std::string TokenText(const ModelId& model,
                      const std::string& prompt,
                      int64_t index) {
  return TokenText(PromptDigest(model, prompt), index);
}

std::string TokenText(uint64_t prompt_digest, int64_t index) {
  uint64_t hash = HashNumber(static_cast<uint64_t>(index), prompt_digest);
  std::string text;
  for (int i = 0; i < kSyllablesPerToken; ++i) {
    text += kSyllables.at(hash % kSyllables.size());
    hash >>= kSyllableBits;
  }
  return text + " ";
}

std::string AnswerStart(const ModelId& model,
                        const std::string& prompt,
                        int64_t tokens) {
  const uint64_t digest = PromptDigest(model, prompt);
  std::string text;
  for (int64_t index = 0; index < tokens; ++index) {
    text += TokenText(digest, index);
  }
  return text;
}

std::string AnswerText(const ModelId& model,
                       const std::string& prompt,
                       Tokens max_tokens) {
  const Tokens length = AnswerLength(model, prompt, max_tokens);
  return AnswerStart(model, prompt, length.count());
}

bool HasCrashMarker(const std::string& prompt) {
  return prompt.find(kCrashMarker) != std::string::npos;
}

}  // namespace bergamotscale::emulator
