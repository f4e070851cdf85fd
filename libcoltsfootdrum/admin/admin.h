/* The admin port of a daemon: /healthz, /readyz, /metrics (Prometheus text),
   /status (one JSON object) and /events (the time line), with the filters
   since=SEQUENCE, account=NAME and request=ID.  It
   has its own address, apart from callers, and changes nothing.

   What routers and agents have in common is shown by the same names at both;
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

/* What each daemon has; all is borrowed.  */
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

/* What is the daemon's own.  */
typedef struct
{
  /* NULL when ready, else why not.  */
  const char *(*not_ready) (void *user);
  void (*metrics) (void *user, GString *out);
  /* Adds members to those that all daemons have: instance, role, zone,
     revision, config_age_ms, platform_up, ready, why_not.  */
  void (*status) (void *user, JsonBuilder *out);
} admin_callbacks_t;

admin_t *admin_new (struct ev_loop *loop, const char *address,
                    const admin_node_t *node, const admin_callbacks_t *source,
                    void *user, GError **error);
void admin_free (admin_t *admin);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (admin_t, admin_free)

/* Members of the status object.  */
void admin_add_text (JsonBuilder *out, const char *name, const char *value);
void admin_add_number (JsonBuilder *out, const char *name, int64_t value);

/* ---- admin-node.c ---- */
void admin_node_append_metrics (const admin_node_t *node, cfd_time_t started,
                                GString *out);
void admin_node_add_status (const admin_node_t *node, const char *not_ready,
                            JsonBuilder *out);

#endif
