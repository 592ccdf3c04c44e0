#ifndef APPS_CITRONCTL_COMMANDS_H_
#define APPS_CITRONCTL_COMMANDS_H_

#include "apps/citronctl/session.h"
#include "citron/ctl/config_writer.h"

namespace citron {

// One command each; `session` has its words and options.
exit_code RunValidate(ctl_session& session);
exit_code RunDiff(ctl_session& session);
exit_code RunApply(ctl_session& session);
exit_code RunShow(ctl_session& session);
exit_code RunList(ctl_session& session);
exit_code RunDelete(ctl_session& session);
exit_code RunKey(ctl_session& session);
exit_code RunDrain(ctl_session& session);
exit_code RunUndrain(ctl_session& session);
exit_code RunGone(ctl_session& session);
exit_code RunUngone(ctl_session& session);
exit_code RunShift(ctl_session& session);
exit_code RunUnshift(ctl_session& session);
exit_code RunStatus(ctl_session& session);
exit_code RunExpand(ctl_session& session);

}  // namespace citron

#endif  // APPS_CITRONCTL_COMMANDS_H_
