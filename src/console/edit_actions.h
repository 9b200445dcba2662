// Handlers of the requests that show and edit an operator's draft. They change
// only the session, not the configuration in force.
// Thread safety: call with the lock held that guards the session.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_EDIT_ACTIONS_H_
#define BERGAMOTSCALE_SRC_CONSOLE_EDIT_ACTIONS_H_

#include "src/console/form.h"
#include "src/console/replies.h"
#include "src/console/web_request.h"

namespace bergamotscale::console {

// Shows the form for the entry that the query parameters "list" and "entry"
// name. An empty "entry" stands for a new one.
void ShowEdit(WebRequest& web, const SessionPtr& session);

// Saves the posted form in the draft. If it has errors, shows the form again
// with each error next to its field.
void SaveEntry(WebRequest& web, const SessionPtr& session, const Form& form);
void RemoveEntry(WebRequest& web, const SessionPtr& session, const Form& form);

// Creates an API key for a workspace and shows it. The draft keeps only the
// key's hash, so the key can't be shown again.
void AddKey(WebRequest& web, const SessionPtr& session, const Form& form);
void RemoveKey(WebRequest& web, const SessionPtr& session, const Form& form);

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_EDIT_ACTIONS_H_
