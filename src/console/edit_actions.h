// Pages and posts that change an operator's draft. They use nothing but the
// session; what is in force doesn't change by them.
// Thread safety: call with the lock held that guards the session.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_EDIT_ACTIONS_H_
#define BERGAMOTSCALE_SRC_CONSOLE_EDIT_ACTIONS_H_

#include "src/console/form.h"
#include "src/console/replies.h"
#include "src/console/web_request.h"

namespace bergamotscale::console {

// The form of the entry that the query names by "list" and "entry".
void ShowEdit(WebRequest& web, const SessionPtr& session);

// Takes that form, or shows it again with the faults beside the fields.
void SaveEntry(WebRequest& web, const SessionPtr& session, const Form& form);
void RemoveEntry(WebRequest& web, const SessionPtr& session, const Form& form);

// Makes a key for a workspace and shows it, once.
void AddKey(WebRequest& web, const SessionPtr& session, const Form& form);
void RemoveKey(WebRequest& web, const SessionPtr& session, const Form& form);

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_EDIT_ACTIONS_H_
