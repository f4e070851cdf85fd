/* One account floods the fleet, with twenty times more requests than slots and
   a weight of two, while a small account sends one request at a time and a
   fault is injected.  The small account must be served throughout: it waits
   for a slot, never for the end of the flood.  */

#include "fault-run.h"
#include <signal.h>

#define SMALL_ACCOUNT 1u
/* Served in turn, the small account waits for less than a second; a fault is
   detected within 3 s.  */
#define MAX_WAIT_MS 6000.0
#define FLOOD_REQUESTS 300u
#define REQUESTS 900u

static void
stop_platform (fault_run_t *run)
{
  g_autofree char *base = fleet_get_url (run->fleet, FLEET_PLATFORM, 0);
  g_autofree char *url = g_strconcat (base, "/control/faults", NULL);
  long status = 0;

  g_free (proc_send_http ("PUT", url, NULL, "{\"mode\":\"down\"}", &status));
  g_assert_cmpint (status, ==, 200);
}

static void
freeze_agent (fault_run_t *run)
{
  proc_stop (fleet_get_process (run->fleet, FLEET_AGENT, 0), SIGSTOP, 0);
}

static void
resume_agent (fault_run_t *run)
{
  proc_stop (fleet_get_process (run->fleet, FLEET_AGENT, 0), SIGCONT, 0);
}

static void
cut_links (fault_run_t *run)
{
  g_assert_true (fleet_set_relay_mode (run->fleet, "zone-0>zone-1", "cut"));
}

static void
restore_links (fault_run_t *run)
{
  g_assert_true (fleet_set_relay_mode (run->fleet, "zone-0>zone-1", "pass"));
}

/* The programs check each slot that they grant, and a wrong choice aborts the
   router that made it.  The other router would still serve the small account
   in time, so a crash has to be looked for here.  */
static void
verify_invariants (const fault_run_t *run)
{
  static const fleet_role_t roles[] = { FLEET_ROUTER, FLEET_AGENT };

  for (unsigned s = 0; s < G_N_ELEMENTS (roles); s++)
    for (unsigned i = 0; i < fleet_count_members (run->fleet, roles[s]); i++)
      {
        g_assert_true (
            proc_is_running (fleet_get_process (run->fleet, roles[s], i)));
        g_assert_cmpfloat (fleet_sum_metric (run->fleet, roles[s], i,
                                             "cfd_invariant_failures_total"),
                           ==, 0);
      }
}

static void
verify_small_account (fault_run_t *run)
{
  const GPtrArray *requests = load_get_requests (run->load);
  double longest_ms = 0;
  unsigned served = 0;

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = g_ptr_array_index (requests, i);

      if (request->account != SMALL_ACCOUNT || request->first_byte_us == 0)
        continue;
      served += request->end == LOAD_CORRECT;
      longest_ms = MAX (longest_ms,
                        (double)(request->first_byte_us - request->started_us)
                            / 1000);
    }
  g_test_message ("%u served, longest wait %.0f ms", served, longest_ms);
  g_assert_cmpuint (served, >, 5);
  g_assert_cmpfloat (longest_ms, <, MAX_WAIT_MS);
  verify_invariants (run);
}

#define STARVE_CASE                                                           \
  .requests = REQUESTS, .accounts = 2, .use_models = true,                    \
  .flood_outstanding = FLOOD_REQUESTS, .verify = verify_small_account

static const fault_case_t cases[] = {
  { .name = "flood", STARVE_CASE },
  /* An agent freezes with half of the requests; the other one serves both
     accounts.  */
  { .name = "frozen",
    .first_action_ms = 3000,
    .second_action_ms = 6000,
    .first_action = freeze_agent,
    .second_action = resume_agent,
    STARVE_CASE },
  /* Routers lose the accounts' home routers and the agents in the other zone:
     each side continues with the service counts that it knows.  */
  { .name = "cut",
    .first_action_ms = 3000,
    .second_action_ms = 7000,
    .first_action = cut_links,
    .second_action = restore_links,
    STARVE_CASE },
  { .name = "platform-down",
    .first_action_ms = 3000,
    .first_action = stop_platform,
    STARVE_CASE },
};

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strconcat ("/starve/", cases[i].name, NULL);

      g_test_add_data_func (path, &cases[i], fault_run_case);
    }
  return g_test_run ();
}
