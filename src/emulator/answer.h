// The answers of the emulated engine. Each is a pure function of the model, the
// prompt and the token index, so that a checker can compare answers byte by
// byte and a resumed answer is the same on another engine.
#ifndef BERGAMOTSCALE_SRC_EMULATOR_ANSWER_H_
#define BERGAMOTSCALE_SRC_EMULATOR_ANSWER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::emulator {

// One message of a chat.
struct ChatMessage {
  std::string role_;
  std::string content_;
};

// Size of a block of the prefix cache.
inline constexpr Tokens kBlockTokens = Tokens(16);
// Number of prompt bytes that count as one token.
inline constexpr int64_t kBytesPerToken = 4;
// Maximum length of an answer without a directive.
inline constexpr Tokens kMaxAnswerLength = Tokens(2048);
// A prompt that contains this text crashes the engine that runs it.
inline constexpr char kCrashMarker[] = "[crash]";
// A prompt that contains "[tokens=N]" gets an answer of N tokens.
inline constexpr char kLengthDirective[] = "[tokens=";

// All functions below are pure. Thread safety: safe.

// @return the prompt that consists of the messages.
std::string JoinMessages(const std::vector<ChatMessage>& messages);

// @return the number of tokens of a prompt, at least one.
Tokens CountPromptTokens(const std::string& prompt);

// @return one hash for each whole block of the prompt. Each covers the prompt
// from its start, so equal hashes of a model mean equal prefixes.
std::vector<uint64_t> HashPrefixBlocks(const ModelId& model,
                                       const std::string& prompt);

// @return a digest of the whole prompt and the model.
uint64_t PromptDigest(const ModelId& model, const std::string& prompt);

// @return the length of the answer: that of the directive if the prompt has
// one, or else drawn from a lognormal distribution seeded by the prompt's
// digest.
// @param max_tokens an upper bound; 0 for none.
Tokens AnswerLength(const ModelId& model,
                    const std::string& prompt,
                    Tokens max_tokens);

// @return the text of the token with that index, from 0.
std::string TokenText(const ModelId& model,
                      const std::string& prompt,
                      int64_t index);
// As above, for a known digest of the prompt.
std::string TokenText(uint64_t prompt_digest, int64_t index);

// @return the first tokens of the answer.
std::string AnswerStart(const ModelId& model,
                        const std::string& prompt,
                        int64_t tokens);

// @return the whole answer.
std::string AnswerText(const ModelId& model,
                       const std::string& prompt,
                       Tokens max_tokens);

// @return whether the prompt crashes the engine.
bool HasCrashMarker(const std::string& prompt);

}  // namespace bergamotscale::emulator

#endif  // BERGAMOTSCALE_SRC_EMULATOR_ANSWER_H_
