/* Admin port: a read-only HTTP server of a daemon on its own address, separate
   from that of callers.  It serves /healthz, /readyz, /metrics (Prometheus
   text), /status (a JSON object) and /events (the timeline, with the filters
   since=SEQUENCE, account=NAME and request=ID).

   Routers and agents use the same names for what they have in common.
   docs/METRICS.md lists all metrics.  */

#ifndef ADMIN_ADMIN_H
#define ADMIN_ADMIN_H

#include "config/store.h"
#include "events/tl.h"
#include "http/web.h"
#include "platform/plat.h"
#include "wire/peer.h"
#include <json-glib/json-glib.h>

typedef struct admin admin_t;

/* The objects that every daemon has; the pointers are borrowed.  */
typedef struct
{
  const char *instance;
  const char *role; /* "router" or "agent" */
  const char *zone;
  const tl_ring_t *ring;
  const store_t *store;
  const plat_t *plat;
  const peer_hub_t *hub;
} admin_node_t;

/* Callbacks for the daemon's own state.  */
typedef struct
{
  /* Returns NULL when the daemon is ready.  */
  const char *(*get_not_ready_reason) (void *user);
  void (*append_metrics) (void *user, GString *out);
  /* Adds members to those of all daemons, which are instance, role, zone,
     revision, config_age_ms, platform_up, ready and why_not.  */
  void (*add_status) (void *user, JsonBuilder *out);
} admin_callbacks_t;

admin_t *admin_new (struct ev_loop *loop, const char *address,
                    const admin_node_t *node,
                    const admin_callbacks_t *callbacks, void *user,
                    GError **error);
void admin_free (admin_t *admin);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (admin_t, admin_free)

/* Add a member to the status object.  */
void admin_add_text (JsonBuilder *out, const char *name, const char *value);
void admin_add_number (JsonBuilder *out, const char *name, int64_t value);

/* ---- admin-node.c ---- */
void admin_node_append_metrics (const admin_node_t *node, cfd_time_t started,
                                GString *out);
void admin_node_add_status (const admin_node_t *node,
                            const char *not_ready_reason, JsonBuilder *out);

#endif
