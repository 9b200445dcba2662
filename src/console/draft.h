// An operator's unpublished changes to the configuration.
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

// One difference between two documents.
struct Change {
  enum class Kind { kAdded, kRemoved, kChanged };
  Kind kind_;
  std::string where_;  // such as "classes / order / tier"
  std::string before_;
  std::string after_;
};

// @return the differences, one for each added or removed entry and each new or
// changed member of an entry. The sequence of entries in a list is ignored, and
// so are members that `after` lacks.
std::vector<Change> CompareDocuments(const nlohmann::json& before,
                                     const nlohmann::json& after);

// A copy of a configuration document that an operator edits. Errors in an entry
// are reported when the entry is saved.
// Thread safety: use from one thread at a time.
class Draft {
 public:
  // @param base canonical JSON of the document at that revision; null if there
  // is none.
  Draft(Revision revision, const nlohmann::json& base);

  Revision base_revision() const { return base_revision_; }
  const nlohmann::json& base() const { return base_; }
  const nlohmann::json& document() const { return document_; }
  bool HasChanges() const { return base_ != document_; }

  // @return whether the draft equals the document. The sequence of entries in
  // lists is ignored, and so are members that the draft lacks.
  bool HasSameEntries(const nlohmann::json& document) const;

  // @return the entry of that name; null if there is none.
  nlohmann::json Find(const Section& section, const std::string& name) const;

  // Replaces the entry of that name. Adds an entry if the name is empty or
  // unknown.
  // @return the errors in the entry, keyed by member, and those in the whole
  // list, with an empty key. If there are any, the draft is unchanged.
  settings::FieldErrors Save(const Section& section,
                             const std::string& name,
                             const nlohmann::json& entry);

  void Remove(const Section& section, const std::string& name);

  // @return all errors in the document.
  settings::FieldErrors Check() const;

  // Applies the changes to the document of another revision.
  // @return kInvalidConfig if they don't apply. The draft is then unchanged.
  Status Rebase(Revision revision, const nlohmann::json& base);

 private:
  Revision base_revision_;
  nlohmann::json base_;
  nlohmann::json document_;
};

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_DRAFT_H_
