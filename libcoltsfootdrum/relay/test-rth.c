/* Tests of the services that routes have had lately.  */

#include "relay/rth.h"

#include <string.h>

#define NOW 1000000
#define KEEP RTH_KEEP_MS
#define MAX_STEPS 4

/* A table that is set.  ROUTES has words PREFIX=SERVICE,SERVICE; before the
   prefix "-" stands for a route that is no stream, "!" for streams that can't
   be resumed.  */
typedef struct
{
  int64_t at; /* after NOW */
  const char *routes;
  bool is_wider;
} step_t;

typedef struct
{
  const char *name;
  step_t steps[MAX_STEPS];
  int64_t at; /* of the look, after NOW */
  const char *target;
  const char *sole;
  cfd_time_t until; /* of several services; unless NEVER or 0, after NOW */
} case_t;

static const case_t cases[] = {
  { "one", { { 0, "/a/=app", false } }, 0, "/a/x", "app", 0 },
  { "no-route", { { 0, "/a/=app", false } }, 0, "/b/x", NULL, 0 },
  { "split",
    { { 0, "/a/=app,other /b/=app", false } },
    KEEP * 2,
    "/a/x",
    NULL,
    CFD_TIME_NEVER },
  { "beside-a-split",
    { { 0, "/a/=app,other /b/=app", false } },
    0,
    "/b/x",
    "app",
    CFD_TIME_NEVER },
  /* Guards against a stream that goes on in the service to which its route was
     moved.  */
  { "moved",
    { { 0, "/a/=app", false }, { 100, "/a/=other", true } },
    100 + KEEP,
    "/a/x",
    NULL,
    100 + KEEP },
  { "moved-long-ago",
    { { 0, "/a/=app", false }, { 100, "/a/=other", true } },
    101 + KEEP,
    "/a/x",
    "other",
    100 + KEEP },
  { "moved-back",
    { { 0, "/a/=app", false },
      { 100, "/a/=other", true },
      { 200, "/a/=app", false } },
    150 + KEEP,
    "/a/x",
    NULL,
    200 + KEEP },
  { "split-ended",
    { { 0, "/a/=app,other", false }, { 100, "/a/=other", false } },
    100,
    "/a/x",
    NULL,
    100 + KEEP },
  /* Guards against a table that counts for longer, as one with the same routes
     follows.  */
  { "unchanged-since",
    { { 0, "/a/=app", false },
      { 100, "/a/=other", true },
      { 9000, "/a/=other", false } },
    101 + KEEP,
    "/a/x",
    "other",
    100 + KEEP },
  /* Guards against a stream of an older route whose path a longer prefix
     captures.  */
  { "captured",
    { { 0, "/a/=app", false }, { 100, "/a/=app /a/b/=other", true } },
    200,
    "/a/b/x",
    NULL,
    100 + KEEP },
  { "beside-captured",
    { { 0, "/a/=app", false }, { 100, "/a/=app /a/b/=other", true } },
    200,
    "/a/x",
    "app",
    100 + KEEP },
  { "released",
    { { 0, "/a/=app /a/b/=other", false }, { 100, "/a/=app", true } },
    200,
    "/a/b/x",
    NULL,
    100 + KEEP },
  /* Guards against a move by two tables, the first of which lacks the route.
   */
  { "removed-first",
    { { 0, "/a/=app", false },
      { 100, "/b/=app", false },
      { 200, "/a/=other", true } },
    300,
    "/a/x",
    NULL,
    100 + KEEP },
  { "removed",
    { { 0, "/a/=app", false }, { 100, "/b/=app", false } },
    200,
    "/a/x",
    "app",
    0 },
  { "no-stream-before",
    { { 0, "-/a/=app", false }, { 100, "/a/=other", false } },
    200,
    "/a/x",
    "other",
    0 },
  /* Streams that can't be resumed need no record.  */
  { "not-resumable", { { 0, "!/a/=app,other", false } }, 0, "/a/x", NULL, 0 },
  { "resumable-before",
    { { 0, "/a/=app", false }, { 100, "!/a/=other", true } },
    200,
    "/a/x",
    NULL,
    100 + KEEP },
};

static rte_route_t *
parse_route (const char *text)
{
  rte_route_t *route = rte_route_new ();
  const char *prefix = text + strspn (text, "-!");
  g_auto (GStrv) parts = g_strsplit (prefix, "=", 2);
  g_auto (GStrv) services = g_strsplit (parts[1], ",", -1);

  route->name = g_strdup (parts[0]);
  route->host = g_strdup ("h");
  route->prefix = g_strdup (parts[0]);
  route->kind = text[0] == '-' ? RTE_IDEMPOTENT : RTE_STREAM;
  route->resumable = prefix == text;
  for (char **service = services; *service != NULL; service++)
    rte_route_add_traffic_share (route, *service, 1.);
  return route;
}

static bool
set_routes (rth_t *rth, cfd_time_t now, const char *routes)
{
  rte_limits_t limits = { 0 };
  g_autoptr (rte_table_t) table = rte_table_new (1, &limits);
  g_auto (GStrv) words = g_strsplit (routes, " ", -1);

  for (char **word = words; *word != NULL; word++)
    rte_table_add_route (table, parse_route (*word));
  return rth_set_table (rth, now, table);
}

static void
test_steps (const void *data)
{
  const case_t *one = data;
  rth_t *rth = rth_new ();
  cfd_time_t until = one->until;

  g_assert_null (rth_get_sole_service (rth, NOW, "h", one->target));
  for (unsigned i = 0; i < MAX_STEPS && one->steps[i].routes != NULL; i++)
    g_assert_cmpint (
        set_routes (rth, NOW + one->steps[i].at, one->steps[i].routes), ==,
        one->steps[i].is_wider);
  g_assert_cmpstr (
      rth_get_sole_service (rth, NOW + one->at, "H:80", one->target), ==,
      one->sole);
  if (until != 0 && until != CFD_TIME_NEVER)
    until += NOW;
  g_assert_cmpint (rth_get_several_until (rth), ==, until);
  rth_free (rth);
}

/* Guards against a conclusion from part of the history, and against tables
   that use up the memory, when routes are moved again and again.  */
static void
test_flood (void)
{
  rth_t *rth = rth_new ();

  set_routes (rth, NOW, "/a/=app /b/=app");
  for (unsigned i = 1; i <= RTH_MAX_TABLES; i++)
    set_routes (rth, NOW + i, i % 2 != 0 ? "/b/=app" : "/a/=app /b/=app");
  g_assert_cmpstr (rth_get_sole_service (rth, NOW + 100, "h", "/b/"), ==,
                   "app");
  for (unsigned i = 0; i < 2 * RTH_MAX_TABLES; i++)
    set_routes (rth, NOW + 100 + i, i % 2 == 0 ? "/a/=app" : "/a/=other");
  g_assert_true (set_routes (rth, NOW + 200, "/a/=app"));
  g_assert_null (rth_get_sole_service (rth, NOW + 200, "h", "/b/"));
  g_assert_cmpint (rth_get_several_until (rth), ==, NOW + 200 + KEEP);
  g_assert_cmpstr (rth_get_sole_service (rth, NOW + 201 + KEEP, "h", "/a/"),
                   ==, "app");
  rth_free (rth);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/rth/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_steps);
    }
  g_test_add_func ("/rth/flood", test_flood);
  return g_test_run ();
}
