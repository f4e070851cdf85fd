/* An account floods the fleet, with twenty times more requests than there are
   slots at its weight of two, and a small one asks for one thing at a time,
   while something else is at fault.  The small one must be served as it goes:
   it waits for a slot, never for the flood to end.  */

#include "fault-run.h"
#include <signal.h>

#define SMALL 1u
/* Served in turn it waits for under a second; a fault is noticed within 3 s.
 */
#define WAIT_MOST_MS 6000.0
#define FLOOD 300u
#define REQUESTS 900u

static void
platform_goes_down (run_t *run)
{
  g_autofree char *base = fleet_get_url (run->fleet, FLEET_PLATFORM, 0);
  g_autofree char *url = g_strconcat (base, "/control/faults", NULL);
  long status = 0;

  g_free (proc_send_http ("PUT", url, NULL, "{\"mode\":\"down\"}", &status));
  g_assert_cmpint (status, ==, 200);
}

static void
freeze_agent (run_t *run)
{
  proc_stop (fleet_get_process (run->fleet, FLEET_AGENT, 0), SIGSTOP, 0);
}

static void
wake_agent (run_t *run)
{
  proc_stop (fleet_get_process (run->fleet, FLEET_AGENT, 0), SIGCONT, 0);
}

static void
cut_links (run_t *run)
{
  g_assert_true (fleet_set_relay_mode (run->fleet, "zone-0>zone-1", "cut"));
}

static void
pass_links (run_t *run)
{
  g_assert_true (fleet_set_relay_mode (run->fleet, "zone-0>zone-1", "pass"));
}

/* The checks inside the programs look at each slot: a wrong choice ends the
   router that made it, and the other one would still serve the small account
   in time.  */
static void
judge_programs (const run_t *run)
{
  static const fleet_role_t sorts[] = { FLEET_ROUTER, FLEET_AGENT };

  for (unsigned s = 0; s < G_N_ELEMENTS (sorts); s++)
    for (unsigned i = 0; i < fleet_count_members (run->fleet, sorts[s]); i++)
      {
        g_assert_true (
            proc_is_running (fleet_get_process (run->fleet, sorts[s], i)));
        g_assert_cmpfloat (fleet_sum_metric (run->fleet, sorts[s], i,
                                             "cfd_invariant_failures_total"),
                           ==, 0);
      }
}

static void
judge_small (run_t *run)
{
  const GPtrArray *requests = load_get_requests (run->load);
  double longest_ms = 0;
  unsigned served = 0;

  for (guint i = 0; i < requests->len; i++)
    {
      const load_request_t *request = g_ptr_array_index (requests, i);

      if (request->account != SMALL || request->first_byte_us == 0)
        continue;
      served += request->end == LOAD_CORRECT;
      longest_ms = MAX (longest_ms,
                        (double)(request->first_byte_us - request->started_us)
                            / 1000);
    }
  g_test_message ("%u served, longest wait %.0f ms", served, longest_ms);
  g_assert_cmpuint (served, >, 5);
  g_assert_cmpfloat (longest_ms, <, WAIT_MOST_MS);
  judge_programs (run);
}

#define STARVE_CASE                                                           \
  .requests = REQUESTS, .accounts = 2, .models = true, .flood = FLOOD,        \
  .judge = judge_small

static const case_t cases[] = {
  { .name = "flood", STARVE_CASE },
  /* An agent stops with half of the work; the other one has both accounts'. */
  { .name = "frozen",
    .first_ms = 3000,
    .second_ms = 6000,
    .first = freeze_agent,
    .second = wake_agent,
    STARVE_CASE },
  /* Routers lose the homes of the accounts, and agents, in the other zone:
     each side goes on with what it knows of who got what.  */
  { .name = "cut",
    .first_ms = 3000,
    .second_ms = 7000,
    .first = cut_links,
    .second = pass_links,
    STARVE_CASE },
  { .name = "platform-down",
    .first_ms = 3000,
    .first = platform_goes_down,
    STARVE_CASE },
};

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strconcat ("/starve/", cases[i].name, NULL);

      g_test_add_data_func (path, &cases[i], fault_run);
    }
  return g_test_run ();
}
