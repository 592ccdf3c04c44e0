#include "apps/citronctl/commands.h"

namespace citron {

exit_code RunExpand(ctl_session& session) {
  return session.Usage("expand DEPLOYMENT --out DIR");
}

}  // namespace citron
