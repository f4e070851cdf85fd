/* libFuzzer target for the datagrams between routers: each input is received
   as a state and as an update by a router that knows one endpoint and one
   order.

     CC=clang meson setup build-fuzz -Dfuzz=true
     ninja -C build-fuzz tests/fuzz-datagrams
     build-fuzz/tests/fuzz-datagrams -max_total_time=60 \
       -artifact_prefix=build-fuzz/  */

#include "relay/pal-private.h"

#include "base/log.h"
#include <stdlib.h>

#define NOW 1000000

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

typedef struct
{
  edp_set_t *endpoints;
  rol_t *rol;
  pal_t *pal;
} router_t;

static void
ignore_line (void *user, const char *line)
{
}

static edp_report_t *
make_report (void)
{
  edp_report_t *report = g_new0 (edp_report_t, 1);

  report->id = g_strdup ("e1");
  report->service = g_strdup ("app");
  report->address = g_strdup ("127.0.0.1:9");
  report->zone = g_strdup ("z");
  report->version = g_strdup ("v1");
  report->revision = 1;
  return report;
}

static rol_order_t *
make_order (void)
{
  rol_order_t *order = g_new0 (rol_order_t, 1);

  order->service = g_strdup ("app");
  order->target = g_strdup ("v2");
  order->duration_ms = 12000;
  order->revision = 2;
  return order;
}

static router_t *
router_new (void)
{
  static const rol_settings_t settings = { .exposure_share = 0.1 };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  router_t *router = g_new0 (router_t, 1);
  GPtrArray *reports = g_ptr_array_new ();
  GPtrArray *orders = g_ptr_array_new ();

  log_set_sink (ignore_line, NULL);
  router->endpoints = edp_set_new (loop);
  g_ptr_array_add (reports, make_report ());
  edp_set_update (router->endpoints, NOW, reports, true, 0);
  router->rol = rol_new (&settings, router->endpoints);
  g_ptr_array_add (orders, make_order ());
  rol_set_orders (router->rol, NOW, orders, 2);
  router->pal = pal_new (loop, "here", 1, "127.0.0.1:0", router->endpoints,
                         use_new (2000), pfx_new (), ret_new (), NULL);
  if (router->pal == NULL)
    abort ();
  pal_set_rollouts (router->pal, router->rol);
  return router;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static router_t *router;
  static cfd_time_t now = NOW;

  if (router == NULL)
    router = router_new ();
  pal_receive_any (router->pal, now, data, size);
  rol_tick (router->rol, now);
  /* Peers of earlier inputs time out.  */
  now += 100;
  pal_tick (router->pal, now);
  return 0;
}
