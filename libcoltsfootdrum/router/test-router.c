/* A whole router against agents that send late, repeated, interleaved or wrong
   messages: what the caller gets, and what the agent is sent.  */

#include "router/test-router-fixture.h"

#include <math.h>
#include <signal.h>
#include <string.h>

#define DRAFT(fixture) (&(fixture)->agents[0])
#define REGISTER(fixture) (&(fixture)->agents[1])

/* ---- data of an answer ---- */

/* The agent's messages in order, each a letter and an offset:
     H        head
     D0=abc   data from 0          X0=abc   the same from the other agent
     E6       complete, 6 bytes    B2       broken off by the endpoint
     R2       no message: waits until the router requests data from 2  */
typedef struct
{
  const char *name;
  const char *steps;
  const char *body; /* NULL: cut off after a part */
} answer_case_t;

static const answer_case_t answers[] = {
  { "in order", "H D0=abc D3=def E6", "abcdef" },
  { "repeated, overlapping", "H D0=abc H D0=abc D1=bcdef E6", "abcdef" },
  { "a gap", "H D0=ab D4=ef E6 R2 D2=cdef E6", "abcdef" },
  { "a body before its head", "D0=abc R0 H D0=abc E3", "abc" },
  { "an end before the whole", "H D0=ab E6 R2 D2=cdef E6", "abcdef" },
  { "data of another agent", "H D0=abc X3=XXX D3=def E6", "abcdef" },
  { "no body at all", "H E0", "" },
  { "cut off", "H D0=ab B2", NULL },
  { "repeated early ends", "H D0=ab E6 E6 E6", NULL },
};

typedef struct
{
  const fake_agent_t *agent;
  uint64_t offset;
} resume_wait_t;

static bool
is_resumed (void *user)
{
  const resume_wait_t *resumed = user;

  return resumed->agent->resumed > 0
         && resumed->agent->resume_offset == resumed->offset;
}

static bool
is_acked (void *user)
{
  return ((const fake_agent_t *)user)->acked > 0;
}

static void
run_step (fixture_t *fixture, fake_agent_t *agent, const char *request,
          const char *step)
{
  uint64_t offset = g_ascii_strtoull (step + 1, NULL, 10);
  const char *text = strchr (step, '=');
  resume_wait_t resumed = { agent, offset };

  switch (step[0])
    {
    case 'H':
      agent_send_head (agent, request);
      return;
    case 'D':
      agent_send_data (agent, request, offset, text + 1);
      return;
    case 'X':
      agent_send_data (REGISTER (fixture), request, offset, text + 1);
      /* Acknowledged, although the router has no such attempt of this
         agent.  */
      fixture_run_until (fixture, is_acked, REGISTER (fixture));
      return;
    case 'E':
      agent_send_end (agent, request, OUTCOME_COMPLETE, offset);
      return;
    case 'B':
      agent_send_end (agent, request, OUTCOME_BROKEN, offset);
      return;
    default:
      fixture_run_until (fixture, is_resumed, &resumed);
      return;
    }
}

/* Returns the received body, without the chunk framing.  */
static char *
decode_body (const call_t *call)
{
  const char *at = strstr (call->text->str, "\r\n\r\n");
  GString *body = g_string_new (NULL);

  for (at = at != NULL ? at + 4 : ""; *at != '\0';)
    {
      char *end;
      gsize size = g_ascii_strtoull (at, &end, 16);

      if (size == 0)
        break;
      g_string_append_len (body, end + 2, (gssize)size);
      at = end + 2 + size + 2;
    }
  return g_string_free (body, FALSE);
}

static void
test_answers (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      const answer_case_t *c = &answers[i];
      fixture_t fixture;
      call_t call;
      call_t other;

      g_test_message ("%s", c->name);
      fixture_begin (&fixture);
      /* The other agent has a link too, for its own request.  */
      call_post_register (&fixture, &other);
      g_autofree char *posted
          = agent_await_assignment (REGISTER (&fixture), 1);
      call_post_completion (&fixture, &call);
      g_autofree char *request = agent_await_assignment (DRAFT (&fixture), 1);
      g_auto (GStrv) steps = g_strsplit (c->steps, " ", 0);
      for (unsigned j = 0; steps[j] != NULL; j++)
        run_step (&fixture, DRAFT (&fixture), request, steps[j]);
      bool is_whole = call_read_answer (&fixture, &call);
      g_autofree char *body = decode_body (&call);
      if (c->body != NULL)
        g_assert_cmpstr (body, ==, c->body);
      g_assert_cmpint (is_whole, ==, c->body != NULL);
      call_end (&call);
      call_end (&other);
      fixture_end (&fixture);
    }
}

/* Two answers whose data is interleaved reach their own callers.  */
static void
test_crossed (void)
{
  fixture_t fixture;
  call_t calls[2];
  char *requests[2];

  fixture_begin (&fixture);
  for (unsigned i = 0; i < 2; i++)
    {
      call_post_completion (&fixture, &calls[i]);
      requests[i] = agent_await_assignment (DRAFT (&fixture), i + 1);
    }
  for (unsigned i = 0; i < 2; i++)
    agent_send_head (DRAFT (&fixture), requests[i]);
  agent_send_data (DRAFT (&fixture), requests[1], 0, "22");
  agent_send_data (DRAFT (&fixture), requests[0], 0, "11");
  agent_send_data (DRAFT (&fixture), requests[1], 2, "22");
  agent_send_end (DRAFT (&fixture), requests[1], OUTCOME_COMPLETE, 4);
  agent_send_data (DRAFT (&fixture), requests[0], 2, "11");
  agent_send_end (DRAFT (&fixture), requests[0], OUTCOME_COMPLETE, 4);
  for (unsigned i = 0; i < 2; i++)
    {
      g_assert_true (call_read_answer (&fixture, &calls[i]));
      g_autofree char *body = decode_body (&calls[i]);
      g_assert_cmpstr (body, ==, i == 0 ? "1111" : "2222");
      call_end (&calls[i]);
      g_free (requests[i]);
    }
  fixture_end (&fixture);
}

/* ---- heads that are not HTTP ---- */

#define ICY 0x80000000u /* libmicrohttpd writes another status line */

static const struct
{
  const char *name;
  unsigned status;
  const char *header;
} malformed_heads[] = {
  { "no status", 0, "X: 1" },
  { "below all statuses", 99, "X: 1" },
  { "an interim status", 102, "X: 1" },
  { "above all statuses", 600, "X: 1" },
  { "four digits", 2000, "X: 1" },
  { "another protocol", ICY | 200, "X: 1" },
  { "a blank in a name", 200, "X Y: 1" },
  { "a control byte in a value", 200, "X: a\001" },
  { "a line end in a value", 200, "X: a\r\n\r\nb" },
  { "no colon", 200, "X" },
};

/* Guards against a caller that gets an answer whose status is none, or a field
   that is none, from an agent of a version that passes them on.  */
static void
test_malformed_heads (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (malformed_heads); i++)
    {
      fixture_t fixture;
      call_t call;

      g_test_message ("%s", malformed_heads[i].name);
      fixture_begin (&fixture);
      call_post_register (&fixture, &call);
      g_autofree char *request
          = agent_await_assignment (REGISTER (&fixture), 1);
      agent_send_head_with (REGISTER (&fixture), request,
                            malformed_heads[i].status,
                            malformed_heads[i].header);
      agent_send_data (REGISTER (&fixture), request, 0, "broken");
      agent_send_end (REGISTER (&fixture), request, OUTCOME_COMPLETE, 6);
      call_read_answer (&fixture, &call);
      g_assert_true (g_str_has_prefix (call.text->str, "HTTP/1.1 502 "));
      g_assert_nonnull (strstr (call.text->str, "\"run\":\"unknown\""));
      g_assert_null (strstr (call.text->str, "broken"));
      call_end (&call);
      fixture_end (&fixture);
    }
}

/* The same for a request that may be repeated.  */
static void
test_malformed_head_retried (void)
{
  fixture_t fixture;
  call_t call;

  fixture_begin (&fixture);
  call_get_register (&fixture, &call);
  g_autofree char *first = agent_await_assignment (REGISTER (&fixture), 1);
  agent_send_head_with (REGISTER (&fixture), first, 0, "X: 1");
  g_autofree char *second = agent_await_assignment (REGISTER (&fixture), 2);
  agent_send_head (REGISTER (&fixture), second);
  agent_send_data (REGISTER (&fixture), second, 0, "sound");
  agent_send_end (REGISTER (&fixture), second, OUTCOME_COMPLETE, 5);
  g_assert_true (call_read_answer (&fixture, &call));
  g_autofree char *body = decode_body (&call);
  g_assert_cmpstr (body, ==, "sound");
  call_end (&call);
  fixture_end (&fixture);
}

/* ---- attempts that end without an answer ---- */

typedef enum
{
  ATTEMPT_NOT_STARTED,
  ATTEMPT_UNREACHED,
  ATTEMPT_UNKNOWN,
  ATTEMPT_BROKEN
} attempt_t;

static const struct
{
  attempt_t attempt;
  bool post;       /* else a GET, which may be repeated */
  bool is_resent;  /* it is assigned to an agent once more */
  const char *run; /* in the refusal otherwise */
} attempts[] = {
  { ATTEMPT_NOT_STARTED, true, true, NULL },
  { ATTEMPT_UNREACHED, true, true, NULL },
  { ATTEMPT_UNKNOWN, true, false, "\"run\":\"unknown\"" },
  { ATTEMPT_BROKEN, true, false, "\"run\":\"unknown\"" },
  { ATTEMPT_NOT_STARTED, false, true, NULL },
  { ATTEMPT_UNKNOWN, false, true, NULL },
  { ATTEMPT_BROKEN, false, true, NULL },
};

static void
end_attempt (fake_agent_t *agent, const char *request, attempt_t attempt)
{
  static const outcome_t outcomes[]
      = { [ATTEMPT_UNREACHED] = OUTCOME_UNREACHED,
          [ATTEMPT_UNKNOWN] = OUTCOME_UNKNOWN,
          [ATTEMPT_BROKEN] = OUTCOME_BROKEN };

  if (attempt == ATTEMPT_NOT_STARTED)
    agent_send_not_started (agent, request);
  else
    agent_send_end (agent, request, outcomes[attempt], 0);
}

static void
test_attempts (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (attempts); i++)
    {
      fixture_t fixture;
      call_t call;
      fake_agent_t *agent = REGISTER (&fixture);

      g_test_message ("attempt %u", i);
      fixture_begin (&fixture);
      if (attempts[i].post)
        call_post_register (&fixture, &call);
      else
        call_get_register (&fixture, &call);
      g_autofree char *first = agent_await_assignment (agent, 1);
      end_attempt (agent, first, attempts[i].attempt);
      if (attempts[i].is_resent)
        {
          g_autofree char *second = agent_await_assignment (agent, 2);

          /* Late messages of the former attempt are ignored.  */
          g_assert_cmpstr (first, !=, second);
          agent_send_head (agent, first);
          agent_send_data (agent, first, 0, "old");
          agent_send_end (agent, first, OUTCOME_COMPLETE, 3);
          agent_send_head (agent, second);
          agent_send_data (agent, second, 0, "new");
          agent_send_end (agent, second, OUTCOME_COMPLETE, 3);
          g_assert_true (call_read_answer (&fixture, &call));
          g_autofree char *body = decode_body (&call);
          g_assert_cmpstr (body, ==, "new");
        }
      else
        {
          g_assert_true (call_read_answer (&fixture, &call));
          g_assert_nonnull (strstr (call.text->str, attempts[i].run));
          g_assert_cmpuint (agent->assigned, ==, 1);
        }
      call_end (&call);
      fixture_end (&fixture);
    }
}

/* ---- grants and the queue ---- */

static bool
is_declined (void *user)
{
  return ((const fake_agent_t *)user)->declined != 0;
}

/* An agent fails a request before its answer begins, is free at once, and
   offers its slot again: the request is at the front of the queue, and the
   caller would see a failure after three rounds.  The slot is declined with a
   count of 0; a later request may go to that agent, and the first one goes to
   the other agent.  */
static void
test_retry_elsewhere (void)
{
  fixture_t fixture;
  call_t calls[2];
  fake_agent_t *failing = &fixture.agents[0];
  fake_agent_t *working = &fixture.agents[1];

  fixture_begin_same_service (&fixture, 1);
  working->withholds_grants = true;
  call_post_completion (&fixture, &calls[0]);
  g_autofree char *first = agent_await_assignment (failing, 1);
  failing->withholds_grants = true;
  agent_send_end (failing, first, OUTCOME_BROKEN, 0);
  agent_send_grant (failing, "a", INFINITY);
  fixture_run_until (&fixture, is_declined, failing);
  g_assert_cmpint (failing->declined, ==, DECLINE_NO_WORK);
  g_assert_cmpuint (failing->left, ==, 0);
  g_assert_cmpuint (failing->assigned, ==, 1);
  failing->withholds_grants = false;
  call_post_completion (&fixture, &calls[1]);
  agent_send_grant (failing, "a", INFINITY);
  g_autofree char *second = agent_await_assignment (failing, 2);
  agent_send_grant (working, "a", INFINITY);
  g_autofree char *is_resent = agent_await_assignment (working, 1);
  g_assert_true (strncmp (first, is_resent, strlen (first) - 1) == 0);
  agent_send_head (working, is_resent);
  agent_send_data (working, is_resent, 0, "new");
  agent_send_end (working, is_resent, OUTCOME_COMPLETE, 3);
  g_assert_true (call_read_answer (&fixture, &calls[0]));
  g_assert_nonnull (strstr (calls[0].text->str, " 200 "));
  for (unsigned i = 0; i < 2; i++)
    call_end (&calls[i]);
  fixture_end (&fixture);
}

static bool
has_queue (void *user)
{
  fake_agent_t *agent = user;

  /* Offers a slot until something waits: each DECLINE carries the count that
     waits.  */
  if (agent->declined == DECLINE_NO_WORK)
    {
      agent->declined = 0;
      agent_send_grant (agent, "a", -1e9);
    }
  return agent->left > 0;
}

static void
test_declines (void)
{
  fixture_t fixture;
  call_t call;
  fake_agent_t *agent = DRAFT (&fixture);

  fixture_begin (&fixture);
  /* One request is served first, so that a link and a virtual time exist.  */
  call_post_completion (&fixture, &call);
  g_autofree char *request = agent_await_assignment (agent, 1);
  agent_send_head (agent, request);
  agent_send_end (agent, request, OUTCOME_COMPLETE, 0);
  g_assert_true (call_read_answer (&fixture, &call));
  call_end (&call);
  agent->withholds_grants = true;
  agent->declined = 0;
  agent_send_grant (agent, "a", 1e9);
  fixture_run_until (&fixture, is_declined, agent);
  g_assert_cmpint (agent->declined, ==, DECLINE_NO_WORK);
  call_post_completion (&fixture, &call);
  fixture_run_until (&fixture, has_queue, agent);
  g_assert_cmpint (agent->declined, ==, DECLINE_STALE);
  fixture_set_zone_state (&fixture, "out");
  for (int i = 0; i < 1000 && agent->declined != DECLINE_ZONE; i++)
    {
      agent->declined = 0;
      agent_send_grant (agent, "a", -1e9);
      fixture_run_until (&fixture, is_declined, agent);
    }
  g_assert_cmpint (agent->declined, ==, DECLINE_ZONE);
  /* No agent took it in time: refused at the deadline as not run.  */
  g_assert_true (call_read_answer (&fixture, &call));
  g_assert_nonnull (strstr (call.text->str, " 504 "));
  g_assert_nonnull (strstr (call.text->str, "\"run\":\"not-run\""));
  g_assert_nonnull (strstr (call.text->str, "Retry-After: "));
  call_end (&call);
  fixture_end (&fixture);
}

static void
test_queue_full (void)
{
  fixture_t fixture;
  call_t calls[4];

  fixture_begin (&fixture);
  DRAFT (&fixture)->withholds_grants = true;
  for (unsigned i = 0; i < G_N_ELEMENTS (calls); i++)
    call_post_completion (&fixture, &calls[i]);
  unsigned refused = 0;
  for (unsigned i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      g_assert_true (call_read_answer (&fixture, &calls[i]));
      g_assert_nonnull (strstr (calls[i].text->str, "\"run\":\"not-run\""));
      g_assert_nonnull (strstr (calls[i].text->str, "Retry-After: "));
      refused += strstr (calls[i].text->str, " 429 ") != NULL;
      call_end (&calls[i]);
    }
  /* Three wait until their deadline; the fourth is refused at once.  */
  g_assert_cmpuint (refused, ==, 1);
  fixture_end (&fixture);
}

/* ---- the wall clock ---- */

#define JUMP_MS (G_GINT64_CONSTANT (24) * 3600 * 1000)

/* Alternates between a day ahead and a day behind at each call.  */
static int64_t
jumping_wall_ms (void)
{
  static bool ahead;

  ahead = !ahead;
  return g_get_real_time () / 1000 + (ahead ? JUMP_MS : -JUMP_MS);
}

/* The wall clock jumps by two days back and forth while a request waits, is
   assigned and answered, and while a grant is late.  The caller is not
   affected: no deadline, link or claim depends on that clock.  A request that
   no agent takes is refused at its own deadline, after a second.  */
static void
test_wall_clock (void)
{
  fixture_t fixture;
  call_t call;
  fake_agent_t *agent = REGISTER (&fixture);

  clock_set_wall_source (jumping_wall_ms);
  fixture_begin (&fixture);
  call_post_register (&fixture, &call);
  g_autofree char *request = agent_await_assignment (agent, 1);
  agent_send_head (agent, request);
  agent_send_data (agent, request, 0, "abc");
  agent_send_end (agent, request, OUTCOME_COMPLETE, 3);
  g_assert_true (call_read_answer (&fixture, &call));
  g_autofree char *body = decode_body (&call);
  g_assert_cmpstr (body, ==, "abc");
  call_end (&call);

  DRAFT (&fixture)->withholds_grants = true;
  cfd_time_t asked = clock_now ();
  call_post_completion (&fixture, &call);
  g_assert_true (call_read_answer (&fixture, &call));
  g_assert_nonnull (strstr (call.text->str, " 504 "));
  g_assert_cmpint (clock_now () - asked, >=, 900);
  call_end (&call);
  fixture_end (&fixture);
  clock_set_wall_source (NULL);
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/router/answers", test_answers);
  g_test_add_func ("/router/crossed", test_crossed);
  g_test_add_func ("/router/malformed-heads", test_malformed_heads);
  g_test_add_func ("/router/malformed-head-retried",
                   test_malformed_head_retried);
  g_test_add_func ("/router/attempts", test_attempts);
  g_test_add_func ("/router/retry-elsewhere", test_retry_elsewhere);
  g_test_add_func ("/router/declines", test_declines);
  g_test_add_func ("/router/queue-full", test_queue_full);
  g_test_add_func ("/router/wall-clock", test_wall_clock);
  return g_test_run ();
}
