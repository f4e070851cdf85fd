/* Whether an agent may take work, which routers it counts, and which requests
   it must never start.  */

#include "agent/agent-grant.h"
#include "agent/agent-ids.h"
#include "agent/agent-links.h"

#define GOOD .has_endpoint = true, .has_service = true

static const struct
{
  const char *name;
  grant_state_t state;
  grant_reason_t reason;
} cases[] = {
  { "all-is-well", { GOOD, .platform_up = true }, GRANT_MAY },
  { "no-endpoint",
    { .has_service = true, .platform_up = true },
    GRANT_NO_RECORD },
  { "no-service",
    { .has_endpoint = true, .platform_up = true },
    GRANT_NO_RECORD },
  { "zone-out",
    { GOOD, .platform_up = true, .zone_out = true },
    GRANT_ZONE_OUT },
  { "leaving", { GOOD, .platform_up = true, .leaving = true }, GRANT_LEAVING },
  { "draining",
    { GOOD, .platform_up = true, .draining = true },
    GRANT_DRAINING },
  { "just-woken",
    { GOOD, .platform_up = true, .unconfirmed = true },
    GRANT_JUST_WOKEN },
  { "settling",
    { GOOD, .platform_up = true, .settling = true },
    GRANT_SETTLING },
  { "behind", { GOOD, .platform_up = true, .behind = true }, GRANT_BEHIND },
  { "ejected", { GOOD, .platform_up = true, .ejected = true }, GRANT_EJECTED },
  { "platform-down-most-heard",
    { GOOD, .routers_known = 3, .routers_heard = 2 },
    GRANT_MAY },
  { "platform-down-half-heard",
    { GOOD, .routers_known = 4, .routers_heard = 2 },
    GRANT_MAY },
  { "island-of-one",
    { GOOD, .routers_known = 3, .routers_heard = 1 },
    GRANT_CUT_OFF },
  { "all-alone", { GOOD, .routers_known = 3 }, GRANT_CUT_OFF },
  { "knows-nobody", { GOOD }, GRANT_CUT_OFF },
  { "island-that-looks-whole",
    { GOOD, .routers_known = 1, .routers_heard = 1, .zones_known = 3,
      .zones_heard = 1, .age_ms = AGENT_OLD_WORD_MS },
    GRANT_CUT_OFF },
  { "one-zone-heard-and-fresh-word",
    { GOOD, .routers_known = 1, .routers_heard = 1, .zones_known = 3,
      .zones_heard = 1, .age_ms = AGENT_OLD_WORD_MS - 1 },
    GRANT_MAY },
  { "half-of-the-zones-heard",
    { GOOD, .routers_known = 2, .routers_heard = 2, .zones_known = 4,
      .zones_heard = 2, .age_ms = 60000 },
    GRANT_MAY },
  { "few-heard-but-platform",
    { GOOD, .platform_up = true, .routers_known = 3, .routers_heard = 1 },
    GRANT_MAY },
};

static void
test_table (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_test_message ("%s", cases[i].name);
      g_assert_cmpint (agent_may_grant (&cases[i].state), ==, cases[i].reason);
    }
}

static void
assert_count (const links_t *links, unsigned known, unsigned heard)
{
  unsigned known_now;
  unsigned heard_now;

  links_count (links, &known_now, &heard_now);
  g_assert_cmpuint (known_now, ==, known);
  g_assert_cmpuint (heard_now, ==, heard);
}

/* A router that went of its own accord isn't missed; one lost by silence is,
   and for as long as the platform is out of reach.  */
static void
test_links (void)
{
  g_autoptr (links_t) links = links_new ();

  links_up (links, "r1", "a");
  links_up (links, "r2", "a");
  links_up (links, "r3", "a");
  links_down (links, "r1", false, 0);
  assert_count (links, 2, 2);
  links_down (links, "r2", true, 0);
  assert_count (links, 2, 1);
  links_expire (links, false, 10 * LINKS_LOST_MS);
  assert_count (links, 2, 1);
  links_expire (links, true, 10 * LINKS_LOST_MS);
  assert_count (links, 1, 1);
  links_down (links, "r3", true, 0);
  links_up (links, "r3", "a");
  links_expire (links, true, 10 * LINKS_LOST_MS);
  assert_count (links, 1, 1);
}

static void
test_zones (void)
{
  g_autoptr (links_t) links = links_new ();

  links_up (links, "r1", "a");
  links_up (links, "r2", "a");
  links_up (links, "r3", "b");
  g_assert_cmpuint (links_zones (links), ==, 2);
  links_down (links, "r3", true, 0);
  g_assert_cmpuint (links_zones (links), ==, 1);
}

static void
test_ids (void)
{
  g_autoptr (ids_t) ids = ids_new ();

  g_assert_cmpint (ids_get (ids, "a"), ==, IDS_NEW);
  ids_set (ids, "a", IDS_STARTED, 0);
  ids_set (ids, "b", IDS_REFUSED, 5);
  ids_set (ids, "a", IDS_STARTED, 9);
  ids_expire (ids, IDS_LIFE_MS + 6);
  g_assert_cmpint (ids_get (ids, "a"), ==, IDS_STARTED);
  g_assert_cmpint (ids_get (ids, "b"), ==, IDS_NEW);
  ids_forget (ids, "a");
  g_assert_cmpint (ids_get (ids, "a"), ==, IDS_NEW);
  for (unsigned i = 0; i <= IDS_MAX; i++)
    {
      g_autofree char *name = g_strdup_printf ("request-%u", i);

      ids_set (ids, name, IDS_STARTED, i);
    }
  g_assert_cmpint (ids_get (ids, "request-0"), ==, IDS_NEW);
  g_assert_cmpint (ids_get (ids, "request-1"), ==, IDS_STARTED);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/grant/table", test_table);
  g_test_add_func ("/grant/links", test_links);
  g_test_add_func ("/grant/zones", test_zones);
  g_test_add_func ("/grant/ids", test_ids);
  return g_test_run ();
}
