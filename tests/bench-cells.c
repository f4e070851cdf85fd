/* Times what a router does for the fleet around it, for 30 to 1,000 routers
   before ten times as many endpoints, with the fleet undivided and in cells:
   datagrams, ticks, lists and placement.  Each row is the mean of many calls,
   in microseconds.

   Usage: bench-cells  */

#include "relay/cel.h"
#include "relay/pal-private.h"

#include <stdio.h>

#define NOW 1000000
#define ENDPOINTS_PER_ROUTER 10
/* Endpoints at which a router has requests.  */
#define BUSY_ENDPOINTS 60
#define ZONES 4
#define ACCOUNTS 30
#define CALLS 200

typedef struct
{
  struct ev_loop *loop;
  edp_set_t *endpoints;
  use_t *use;
  pfx_t *pfx;
  ret_t *ret;
  pal_t *pal;
} router_t;

static GPtrArray *
make_reports (unsigned count)
{
  GPtrArray *reports = g_ptr_array_new ();

  for (unsigned i = 0; i < count; i++)
    {
      edp_report_t *report = g_new0 (edp_report_t, 1);

      report->id = g_strdup_printf ("i-%08x", i * 2654435761u);
      report->service = g_strdup ("app");
      report->address = g_strdup ("127.0.0.1:9");
      report->zone = g_strdup_printf ("z%u", i % ZONES);
      report->slots = 64;
      report->revision = 7;
      g_ptr_array_add (reports, report);
    }
  return reports;
}

static router_t
router_new (unsigned routers, unsigned cells)
{
  router_t router = { .loop = ev_loop_new (EVFLAG_AUTO) };

  router.endpoints = edp_set_new (router.loop);
  edp_set_update (router.endpoints, NOW,
                  make_reports (routers * ENDPOINTS_PER_ROUTER), true, 0);
  edp_set_choose_cell (router.endpoints, 0, cells);
  router.use = use_new (2000);
  router.pfx = pfx_new ();
  router.ret = ret_new ();
  router.pal
      = pal_new (router.loop, "here", 1, "127.0.0.1:0", router.endpoints,
                 router.use, router.pfx, router.ret, NULL);
  return router;
}

static void
router_free (router_t *router)
{
  pal_free (router->pal);
  edp_set_free (router->endpoints);
  use_free (router->use);
  pfx_free (router->pfx);
  ret_free (router->ret);
  ev_loop_destroy (router->loop);
}

/* Makes requests run at some endpoints of the router, for some accounts.  */
static void
make_busy (router_t *router)
{
  unsigned busy = 0;

  list_for_each (node, edp_set_endpoints (router->endpoints))
    {
      edp_t *edp = list_entry (node, edp_t, node);

      if (busy++ == BUSY_ENDPOINTS)
        break;
      edp->active = 1;
      edp->pending_prefill = 1000.;
      edp->context_tokens = 8000.;
    }
  for (unsigned i = 0; i < ACCOUNTS; i++)
    {
      g_autofree char *account = g_strdup_printf ("account-%u", i);

      use_add_served (router->use, NOW, account, 5000.);
    }
}

static double
measure_receive (router_t *here, router_t *from, pal_content_t content)
{
  g_autoptr (GPtrArray) datagrams
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_byte_array_unref);
  int64_t started_us;

  for (unsigned i = 0; i < CALLS; i++)
    g_ptr_array_add (datagrams, pal_pack (from->pal, NOW, content));
  started_us = clock_now_us ();
  for (unsigned i = 0; i < CALLS; i++)
    {
      const GByteArray *bytes = g_ptr_array_index (datagrams, i);

      pal_receive (here->pal, NOW, bytes->data, bytes->len);
    }
  return (double)(clock_now_us () - started_us) / CALLS;
}

static double
measure_tick (router_t *here)
{
  int64_t started_us = clock_now_us ();

  for (unsigned i = 0; i < CALLS; i++)
    {
      pal_sum_new_endpoints (here->pal);
      for (unsigned list = 0; list < PAL_LIST_COUNT; list++)
        pal_view_list (here->pal, NOW, list, 1000);
    }
  return (double)(clock_now_us () - started_us) / CALLS;
}

/* Applies a list of which one entry in a hundred has changed.  */
static double
measure_list (router_t *here, unsigned routers)
{
  unsigned count = routers * ENDPOINTS_PER_ROUTER;
  g_autoptr (GPtrArray) reports = make_reports (count);
  GPtrArray *changed = g_ptr_array_new ();
  int64_t started_us = clock_now_us ();

  for (unsigned i = 0; i < count; i++)
    {
      edp_report_t *report = g_ptr_array_index (reports, i);

      if (i % 100 == 0)
        report->revision = 8;
      if (edp_set_keep (here->endpoints, report->id, report->revision))
        edp_report_free (report);
      else
        g_ptr_array_add (changed, report);
    }
  edp_set_update (here->endpoints, NOW, changed, true, 0);
  return (double)(clock_now_us () - started_us);
}

/* Adds the state of all other routers of the fleet.  */
static void
add_peers (router_t *here, router_t *from, unsigned routers, unsigned cells)
{
  for (unsigned i = 1; i < routers; i++)
    {
      pal_content_t content = i % cells == 0 ? PAL_FULL : PAL_SUMMARY;
      g_autoptr (GByteArray) bytes = NULL;

      g_free (from->pal->name);
      from->pal->name = g_strdup_printf ("router-%u", i);
      from->pal->incarnation = i + 1;
      bytes = pal_pack (from->pal, NOW, content);
      pal_receive (here->pal, NOW, bytes->data, bytes->len);
    }
}

static void
print_row (unsigned routers, unsigned cells)
{
  router_t here = router_new (routers, cells);
  router_t from = router_new (routers, cells);
  unsigned near = routers / cells;

  make_busy (&from);
  add_peers (&here, &from, routers, cells);
  printf ("| %u / %u | %u | %u | %.1f | %.1f | %.1f | %.0f |\n", routers,
          routers * ENDPOINTS_PER_ROUTER, cells, near,
          measure_receive (&here, &from, PAL_FULL),
          measure_receive (&here, &from, PAL_SUMMARY), measure_tick (&here),
          measure_list (&here, routers));
  router_free (&here);
  router_free (&from);
}

int
main (void)
{
  static const unsigned sizes[] = { 30, 100, 300, 1000 };

  printf ("| routers / endpoints | cells | routers of a cell | state, us | "
          "summary, us | tick, us | list, us |\n"
          "|---|---|---|---|---|---|---|\n");
  for (unsigned i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      unsigned cells
          = cel_choose_count (sizes[i], sizes[i] * ENDPOINTS_PER_ROUTER, 1);

      print_row (sizes[i], 1);
      if (cells > 1)
        print_row (sizes[i], cells);
    }
  return 0;
}
