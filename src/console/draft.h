// An operator's changes that are not published yet.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_DRAFT_H_
#define BERGAMOTSCALE_SRC_CONSOLE_DRAFT_H_

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "src/console/sections.h"
#include "src/settings/field_reader.h"

namespace bergamotscale::console {

// One line of a difference between two documents.
struct Change {
  enum class Kind { kAdded, kRemoved, kChanged };
  Kind kind_;
  std::string where_;  // such as "classes / order / tier"
  std::string before_;
  std::string after_;
};

// @return the differences, by list, entry and member.
std::vector<Change> CompareDocuments(const nlohmann::json& before,
                                     const nlohmann::json& after);

// Thread safety: use from one thread at a time.
class Draft {
 public:
  // @param base canonical JSON of the document at a revision; null for none.
  Draft(Revision revision, const nlohmann::json& base);

  Revision base_revision() const { return base_revision_; }
  const nlohmann::json& base() const { return base_; }
  const nlohmann::json& document() const { return document_; }
  bool HasChanges() const { return base_ != document_; }

  // @return true if the draft is that document, whatever its lists' order.
  bool HasPublished(const nlohmann::json& document) const;

  // @return the entry of that name; null if there is none.
  nlohmann::json Find(const Section& section, const std::string& name) const;

  // Replaces the entry of that name, or adds one if name is empty.
  // @return the faults of that entry, keyed by member, and those of the whole
  // list with an empty key; nothing is changed if there are any.
  settings::FieldErrors Save(const Section& section,
                             const std::string& name,
                             const nlohmann::json& entry);

  void Remove(const Section& section, const std::string& name);

  // @return all faults of the document.
  settings::FieldErrors Check() const;

  // Moves the changes onto another revision.
  // @return kInvalidConfig if they don't fit; the draft is then unchanged.
  Status Rebase(Revision revision, const nlohmann::json& base);

 private:
  Revision base_revision_;
  nlohmann::json base_;
  nlohmann::json document_;
};

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_DRAFT_H_
