/* To which agent a router gives a request again that an agent failed.  */

#include "router/avoid.h"
#include "router/test-router-fixture.h"

#include <math.h>
#include <signal.h>
#include <string.h>

/* Longer than each test takes.  */
#define REQUEST_S 30
#define GIVEN_BACK 2

static bool
is_declined (void *user)
{
  return ((const fake_agent_t *)user)->declined != 0;
}

static bool
is_later (void *user)
{
  return clock_now () > *(const cfd_time_t *)user;
}

/* Posts a call that the first agent fails, and returns the call's request id.
   The second agent takes nothing meanwhile.  */
static char *
post_and_fail (fixture_t *fixture, call_t *call)
{
  fake_agent_t *failing = &fixture->agents[0];
  char *request;

  fixture->agents[1].withholds_grants = true;
  call_post_completion (fixture, call);
  request = agent_await_assignment (failing, 1);
  failing->withholds_grants = true;
  agent_send_end (failing, request, OUTCOME_BROKEN, 0);
  agent_send_grant (failing, "a", INFINITY);
  fixture_run_until (fixture, is_declined, failing);
  g_assert_cmpuint (failing->assigned, ==, 1);
  return request;
}

/* A request that an agent had failed waited for more than three seconds for
   the other agent, which was full, and was given to the former again.  */
static void
test_waits_for_full_agent (void)
{
  fixture_t fixture;
  call_t calls[2];
  fake_agent_t *failing = &fixture.agents[0];
  fake_agent_t *full = &fixture.agents[1];
  cfd_time_t until;

  fixture_begin_same_service (&fixture, REQUEST_S);
  failing->withholds_grants = true;
  call_post_completion (&fixture, &calls[0]);
  g_autofree char *running = agent_await_assignment (full, 1);
  failing->withholds_grants = false;
  g_autofree char *failed = post_and_fail (&fixture, &calls[1]);
  until = clock_now () + AVOID_AGENT_MS + 500;
  fixture_run_until (&fixture, is_later, &until);
  failing->declined = 0;
  agent_send_grant (failing, "a", INFINITY);
  fixture_run_until (&fixture, is_declined, failing);
  g_assert_cmpuint (failing->assigned, ==, 1);
  agent_send_grant (full, "a", INFINITY);
  g_autofree char *resent = agent_await_assignment (full, 2);
  g_assert_true (strncmp (failed, resent, strlen (failed) - 1) == 0);
  for (unsigned i = 0; i < 2; i++)
    call_end (&calls[i]);
  fixture_end (&fixture);
}

/* The other agent runs nothing and offers nothing: the request does not wait
   for it for ever.  */
static void
test_without_another (void)
{
  fixture_t fixture;
  call_t call;
  fake_agent_t *failing = &fixture.agents[0];
  cfd_time_t until;

  fixture_begin_same_service (&fixture, REQUEST_S);
  g_autofree char *failed = post_and_fail (&fixture, &call);
  until = clock_now () + AVOID_AGENT_MS + 500;
  fixture_run_until (&fixture, is_later, &until);
  agent_send_grant (failing, "a", INFINITY);
  g_autofree char *resent = agent_await_assignment (failing, 2);
  g_assert_true (strncmp (failed, resent, strlen (failed) - 1) == 0);
  call_end (&call);
  fixture_end (&fixture);
}

/* A request that an agent had given back unstarted twice, and that failed once
   then, failed for its caller although another agent served: what never
   started counted as a lost attempt.  */
static void
test_given_back (void)
{
  fixture_t fixture;
  call_t call;
  fake_agent_t *agent = &fixture.agents[0];
  fake_agent_t *other = &fixture.agents[1];

  fixture_begin_same_service (&fixture, REQUEST_S);
  other->withholds_grants = true;
  call_post_completion (&fixture, &call);
  for (unsigned i = 1; i <= GIVEN_BACK; i++)
    {
      g_autofree char *request = agent_await_assignment (agent, i);

      agent_send_not_started (agent, request);
      agent_send_grant (agent, "a", INFINITY);
    }
  g_autofree char *failed = agent_await_assignment (agent, GIVEN_BACK + 1);
  agent_send_end (agent, failed, OUTCOME_BROKEN, 0);
  agent_send_grant (other, "a", INFINITY);
  g_autofree char *resent = agent_await_assignment (other, 1);
  g_assert_true (strncmp (failed, resent, strlen (failed) - 1) == 0);
  call_end (&call);
  fixture_end (&fixture);
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/router-retry/waits-for-full-agent",
                   test_waits_for_full_agent);
  g_test_add_func ("/router-retry/without-another", test_without_another);
  g_test_add_func ("/router-retry/given-back", test_given_back);
  return g_test_run ();
}
