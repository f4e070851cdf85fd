/* The time line: bounded, ordered, and readable from any sequence on.  */

#include "events/tl.h"

#include "base/log.h"
#include <json-glib/json-glib.h>

#define CAPACITY 4

static JsonArray *
events_since (tl_ring_t *ring, uint64_t since, JsonNode **root)
{
  g_autofree char *text = tl_to_json (ring, since, NULL);

  *root = json_from_string (text, NULL);
  return json_node_get_array (*root);
}

static void
test_window (void)
{
  static const struct
  {
    unsigned added;
    uint64_t since;
    unsigned first; /* sequence of the first event; 0 when there is none */
    unsigned count;
  } cases[] = {
    { 0, 0, 0, 0 },        { 3, 0, 1, 3 },
    { 3, 2, 3, 1 },        { 3, 3, 0, 0 },
    { 3, 99, 0, 0 },       { 3, UINT64_MAX, 0, 0 },
    { CAPACITY, 0, 1, 4 }, { CAPACITY + 1, 0, 2, 4 },
    { 10, 8, 9, 2 },       { 10, 1, 7, 4 },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (tl_ring_t) ring = tl_ring_new ("r1", CAPACITY);
      g_autoptr (JsonNode) root = NULL;
      JsonArray *events;

      for (unsigned n = 0; n < cases[i].added; n++)
        tl_add (ring, TL_ADMIT, "branch", NULL, NULL, "q", NULL);
      events = events_since (ring, cases[i].since, &root);
      g_assert_cmpuint (json_array_get_length (events), ==, cases[i].count);
      if (cases[i].count > 0)
        g_assert_cmpint (
            json_object_get_int_member (
                json_array_get_object_element (events, 0), "sequence"),
            ==, cases[i].first);
    }
}

/* A request is found by its name with all its attempts, and no other whose
   name begins alike.  */
static void
test_filter (void)
{
  static const struct
  {
    tl_filter_t filter;
    unsigned count;
  } cases[] = {
    { { NULL, NULL }, 4 },      { { "branch", NULL }, 3 },
    { { NULL, "r.1" }, 2 },     { { NULL, "r.1-1" }, 1 },
    { { "mill", "r.1" }, 0 },   { { NULL, "r" }, 0 },
    { { "branch", "r.1" }, 2 },
  };
  g_autoptr (tl_ring_t) ring = tl_ring_new ("r1", CAPACITY);

  tl_add (ring, TL_ADMIT, "branch", NULL, NULL, "r.1", NULL);
  tl_add (ring, TL_ASSIGN, "branch", NULL, NULL, "r.1-1", NULL);
  tl_add (ring, TL_ADMIT, "branch", NULL, NULL, "r.12", NULL);
  tl_add (ring, TL_START, NULL, NULL, NULL, NULL, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text = tl_to_json (ring, 0, &cases[i].filter);
      g_autoptr (JsonNode) root = json_from_string (text, NULL);

      g_assert_cmpuint (json_array_get_length (json_node_get_array (root)), ==,
                        cases[i].count);
    }
}

static void
test_members (void)
{
  g_autoptr (tl_ring_t) ring = tl_ring_new ("r1", CAPACITY);
  g_autoptr (JsonNode) root = NULL;
  JsonObject *event;
  JsonArray *events;

  tl_add (ring, TL_END, "branch", "zone-a", "e\"1", "q1", "Ended\n\xff.");
  tl_add (ring, TL_STOP, NULL, NULL, NULL, NULL, NULL);
  events = events_since (ring, 0, &root);
  event = json_array_get_object_element (events, 0);
  g_assert_cmpstr (json_object_get_string_member (event, "instance"), ==,
                   "r1");
  g_assert_cmpstr (json_object_get_string_member (event, "kind"), ==, "end");
  g_assert_cmpstr (json_object_get_string_member (event, "endpoint"), ==,
                   "e\"1");
  event = json_array_get_object_element (events, 1);
  g_assert_false (json_object_has_member (event, "account"));
  g_assert_cmpint (json_object_get_int_member (event, "stamp"), >,
                   json_object_get_int_member (
                       json_array_get_object_element (events, 0), "stamp"));
}

static void
test_kind_names (void)
{
  for (unsigned i = 0; i < TL_KIND_COUNT; i++)
    for (unsigned j = 0; j < i; j++)
      g_assert_cmpstr (tl_kind_name (i), !=, tl_kind_name (j));
}

static void
keep_lines (void *user, const char *line)
{
  g_string_append_printf (user, "%s\n", line);
}

/* A broken invariant tells what came before it, and stays in the ring.  The
   abort of test builds comes after both, so this runs in a child.  */
static void
test_invariant (void)
{
  if (g_test_subprocess ())
    {
      g_autoptr (tl_ring_t) ring = tl_ring_new ("r1", CAPACITY);

      tl_add (ring, TL_GRANT, "branch", NULL, NULL, "q77", NULL);
      invariant_report_failure ("at-most-once", "file.c", 1, "q77 ran twice");
      exit (1);
    }
  g_test_trap_subprocess (NULL, 0, 0);
  g_test_trap_assert_failed ();
  g_test_trap_assert_stderr ("*at-most-once*q77 ran twice*kind=grant*q77*");
}

int
main (int argc, char **argv)
{
  g_autoptr (GString) lines = g_string_new (NULL);

  g_test_init (&argc, &argv, NULL);
  if (!g_test_subprocess ())
    log_set_sink (keep_lines, lines);
  g_test_add_func ("/tl/filter", test_filter);
  g_test_add_func ("/tl/window", test_window);
  g_test_add_func ("/tl/members", test_members);
  g_test_add_func ("/tl/kind-names", test_kind_names);
  g_test_add_func ("/tl/invariant", test_invariant);
  return g_test_run ();
}
