#ifndef VANILLAPOST_QUOTAS_HPP
#define VANILLAPOST_QUOTAS_HPP

/// Umbrella header of the quotas module, which keeps an organisation's requests
/// within a rate and a burst over all instances together.

#include "src/quotas/quota_decision.hpp"
#include "src/quotas/quota_holder.hpp"
#include "src/quotas/quota_limiter.hpp"
#include "src/quotas/quota_membership.hpp"
#include "src/quotas/quota_messages.hpp"
#include "src/quotas/quota_owner.hpp"
#include "src/quotas/quota_settings.hpp"
#include "src/quotas/quota_view.hpp"

#endif
