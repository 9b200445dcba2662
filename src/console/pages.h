// Generates the bodies of the console's pages as HTML. All functions are pure.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_PAGES_H_
#define BERGAMOTSCALE_SRC_CONSOLE_PAGES_H_

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "src/config/config_follower.h"
#include "src/config/config_publisher.h"
#include "src/console/draft.h"
#include "src/console/sections.h"

namespace bergamotscale::console {

// State of the log's follower, as shown on the pages.
struct LogState {
  Revision revision_;
  bool caught_up_ = false;
  Millis staleness_;
};

// @param csrf HTML of the hidden input with the CSRF token, part of each form.
// @param error text shown above the form; may be empty.
std::string LoginBody(const std::string& csrf, const std::string& error);

std::string OverviewBody(const Draft& draft, const LogState& log);

// @param name the entry to edit; empty for a new one.
// @param errors errors keyed by member; those in the whole list have an empty
// key.
std::string EditBody(const Section& section,
                     const std::string& name,
                     const nlohmann::json& entry,
                     const settings::FieldErrors& errors,
                     const std::string& csrf);

// Shows a new API key, which can't be shown again.
std::string NewKeyBody(const std::string& workspace, const std::string& key);

std::string ReviewBody(const Draft& draft,
                       const LogState& log,
                       const std::string& csrf);

// @param current the document in force; null at revision zero.
std::string ResultBody(const config::PublishResult& result,
                       const Draft& draft,
                       const nlohmann::json& current,
                       const std::string& csrf);

std::string HistoryBody(const std::vector<config::PublicationOutcome>& history);

std::string PublicationBody(
    const std::string& id,
    const std::optional<config::PublicationOutcome>& outcome);

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_PAGES_H_
