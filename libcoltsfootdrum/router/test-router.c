/* A whole router against agents that send late, doubled, crossed or wrong
   words: what the caller gets, and what the agent hears.  */

#include "router/test-router-scene.h"

#include <math.h>
#include <signal.h>
#include <string.h>

#define DRAFT(scene) (&(scene)->agents[0])
#define REGISTER(scene) (&(scene)->agents[1])

/* ---- the answer's pieces ---- */

/* The agent's words in order, each a letter and an offset:
     H        head
     D0=abc   data from 0          X0=abc   the same from the other agent
     E6       complete, 6 bytes    B2       broken off by the endpoint
     R2       not a word: waits until the router asks again from 2  */
typedef struct
{
  const char *name;
  const char *words;
  const char *body; /* NULL: broken off after a part */
} answer_case_t;

static const answer_case_t answers[] = {
  { "in order", "H D0=abc D3=def E6", "abcdef" },
  { "doubled, overlapping", "H D0=abc H D0=abc D1=bcdef E6", "abcdef" },
  { "a gap", "H D0=ab D4=ef E6 R2 D2=cdef E6", "abcdef" },
  { "a body before its head", "D0=abc R0 H D0=abc E3", "abc" },
  { "an end before the whole", "H D0=ab E6 R2 D2=cdef E6", "abcdef" },
  { "another agent's words", "H D0=abc X3=XXX D3=def E6", "abcdef" },
  { "no body at all", "H E0", "" },
  { "broken off", "H D0=ab B2", NULL },
  { "early ends, again and again", "H D0=ab E6 E6 E6", NULL },
};

typedef struct
{
  const scene_agent_t *agent;
  uint64_t offset;
} resumed_t;

static bool
is_resumed (void *user)
{
  const resumed_t *resumed = user;

  return resumed->agent->resumed > 0
         && resumed->agent->resume_offset == resumed->offset;
}

static bool
is_acked (void *user)
{
  return ((const scene_agent_t *)user)->acked > 0;
}

static void
play (scene_t *scene, scene_agent_t *agent, const char *request,
      const char *word)
{
  uint64_t offset = g_ascii_strtoull (word + 1, NULL, 10);
  const char *text = strchr (word, '=');
  resumed_t resumed = { agent, offset };

  switch (word[0])
    {
    case 'H':
      scene_head (agent, request);
      return;
    case 'D':
      scene_data (agent, request, offset, text + 1);
      return;
    case 'X':
      scene_data (REGISTER (scene), request, offset, text + 1);
      /* Taken off its hands: it is nobody's there.  */
      scene_run (scene, is_acked, REGISTER (scene));
      return;
    case 'E':
      scene_finish (agent, request, OUTCOME_COMPLETE, offset);
      return;
    case 'B':
      scene_finish (agent, request, OUTCOME_BROKEN, offset);
      return;
    default:
      scene_run (scene, is_resumed, &resumed);
      return;
    }
}

/* The body that came, without the chunks' framing.  */
static char *
body_of (const scene_call_t *call)
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
      scene_t scene;
      scene_call_t call;
      scene_call_t other;

      g_test_message ("%s", c->name);
      scene_begin (&scene);
      /* The other agent has a link too, for a request of its own.  */
      scene_post (&scene, &other);
      g_autofree char *posted = scene_assigned (REGISTER (&scene), 1);
      scene_stream (&scene, &call);
      g_autofree char *request = scene_assigned (DRAFT (&scene), 1);
      g_auto (GStrv) words = g_strsplit (c->words, " ", 0);
      for (unsigned j = 0; words[j] != NULL; j++)
        play (&scene, DRAFT (&scene), request, words[j]);
      bool whole = scene_whole (&scene, &call);
      g_autofree char *body = body_of (&call);
      if (c->body != NULL)
        g_assert_cmpstr (body, ==, c->body);
      g_assert_cmpint (whole, ==, c->body != NULL);
      scene_call_end (&call);
      scene_call_end (&other);
      scene_end (&scene);
    }
}

/* Two answers whose pieces cross go to their own callers.  */
static void
test_crossed (void)
{
  scene_t scene;
  scene_call_t calls[2];
  char *requests[2];

  scene_begin (&scene);
  for (unsigned i = 0; i < 2; i++)
    {
      scene_stream (&scene, &calls[i]);
      requests[i] = scene_assigned (DRAFT (&scene), i + 1);
    }
  for (unsigned i = 0; i < 2; i++)
    scene_head (DRAFT (&scene), requests[i]);
  scene_data (DRAFT (&scene), requests[1], 0, "22");
  scene_data (DRAFT (&scene), requests[0], 0, "11");
  scene_data (DRAFT (&scene), requests[1], 2, "22");
  scene_finish (DRAFT (&scene), requests[1], OUTCOME_COMPLETE, 4);
  scene_data (DRAFT (&scene), requests[0], 2, "11");
  scene_finish (DRAFT (&scene), requests[0], OUTCOME_COMPLETE, 4);
  for (unsigned i = 0; i < 2; i++)
    {
      g_assert_true (scene_whole (&scene, &calls[i]));
      g_autofree char *body = body_of (&calls[i]);
      g_assert_cmpstr (body, ==, i == 0 ? "1111" : "2222");
      scene_call_end (&calls[i]);
      g_free (requests[i]);
    }
  scene_end (&scene);
}

/* ---- the end of an attempt that gave nothing ---- */

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
  bool post;       /* else a lookup, which may be repeated */
  bool again;      /* it is sent to an agent once more */
  const char *run; /* of the refusal otherwise */
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
end_attempt (scene_agent_t *agent, const char *request, attempt_t attempt)
{
  static const outcome_t outcomes[]
      = { [ATTEMPT_UNREACHED] = OUTCOME_UNREACHED,
          [ATTEMPT_UNKNOWN] = OUTCOME_UNKNOWN,
          [ATTEMPT_BROKEN] = OUTCOME_BROKEN };

  if (attempt == ATTEMPT_NOT_STARTED)
    scene_not_started (agent, request);
  else
    scene_finish (agent, request, outcomes[attempt], 0);
}

static void
test_attempts (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (attempts); i++)
    {
      scene_t scene;
      scene_call_t call;
      scene_agent_t *agent = REGISTER (&scene);

      g_test_message ("attempt %u", i);
      scene_begin (&scene);
      if (attempts[i].post)
        scene_post (&scene, &call);
      else
        scene_look_up (&scene, &call);
      g_autofree char *first = scene_assigned (agent, 1);
      end_attempt (agent, first, attempts[i].attempt);
      if (attempts[i].again)
        {
          g_autofree char *second = scene_assigned (agent, 2);

          /* Late words of the former attempt are nobody's.  */
          g_assert_cmpstr (first, !=, second);
          scene_head (agent, first);
          scene_data (agent, first, 0, "old");
          scene_finish (agent, first, OUTCOME_COMPLETE, 3);
          scene_head (agent, second);
          scene_data (agent, second, 0, "new");
          scene_finish (agent, second, OUTCOME_COMPLETE, 3);
          g_assert_true (scene_whole (&scene, &call));
          g_autofree char *body = body_of (&call);
          g_assert_cmpstr (body, ==, "new");
        }
      else
        {
          g_assert_true (scene_whole (&scene, &call));
          g_assert_nonnull (strstr (call.text->str, attempts[i].run));
          g_assert_cmpuint (agent->assigned, ==, 1);
        }
      scene_call_end (&call);
      scene_end (&scene);
    }
}

/* ---- grants and the queue ---- */

static bool
is_declined (void *user)
{
  return ((const scene_agent_t *)user)->declined != 0;
}

/* An agent breaks off a request before its answer began, is free at once, and
   offers its slot again: the request is at the front of the queue, and the
   caller would see a failure after three rounds.  The slot is declined with
   the word that nothing waits for it; a later request may go there, and the
   first goes to the other agent.  */
static void
test_retry_elsewhere (void)
{
  scene_t scene;
  scene_call_t calls[2];
  scene_agent_t *fails = &scene.agents[0];
  scene_agent_t *serves = &scene.agents[1];

  scene_begin_twins (&scene);
  serves->silent = true;
  scene_stream (&scene, &calls[0]);
  g_autofree char *first = scene_assigned (fails, 1);
  fails->silent = true;
  scene_finish (fails, first, OUTCOME_BROKEN, 0);
  scene_grant (fails, "a", INFINITY);
  scene_run (&scene, is_declined, fails);
  g_assert_cmpint (fails->declined, ==, DECLINE_NO_WORK);
  g_assert_cmpuint (fails->left, ==, 0);
  g_assert_cmpuint (fails->assigned, ==, 1);
  fails->silent = false;
  scene_stream (&scene, &calls[1]);
  scene_grant (fails, "a", INFINITY);
  g_autofree char *second = scene_assigned (fails, 2);
  scene_grant (serves, "a", INFINITY);
  g_autofree char *again = scene_assigned (serves, 1);
  g_assert_true (strncmp (first, again, strlen (first) - 1) == 0);
  scene_head (serves, again);
  scene_data (serves, again, 0, "new");
  scene_finish (serves, again, OUTCOME_COMPLETE, 3);
  g_assert_true (scene_whole (&scene, &calls[0]));
  g_assert_nonnull (strstr (calls[0].text->str, " 200 "));
  for (unsigned i = 0; i < 2; i++)
    scene_call_end (&calls[i]);
  scene_end (&scene);
}

static bool
has_queue (void *user)
{
  scene_agent_t *agent = user;

  /* Asks in vain until something waits: what is left comes with the word. */
  if (agent->declined == DECLINE_NO_WORK)
    {
      agent->declined = 0;
      scene_grant (agent, "a", -1e9);
    }
  return agent->left > 0;
}

static void
test_declines (void)
{
  scene_t scene;
  scene_call_t call;
  scene_agent_t *agent = DRAFT (&scene);

  scene_begin (&scene);
  /* One request is served, so that a link and a virtual time are there.  */
  scene_stream (&scene, &call);
  g_autofree char *request = scene_assigned (agent, 1);
  scene_head (agent, request);
  scene_finish (agent, request, OUTCOME_COMPLETE, 0);
  g_assert_true (scene_whole (&scene, &call));
  scene_call_end (&call);
  agent->silent = true;
  agent->declined = 0;
  scene_grant (agent, "a", 1e9);
  scene_run (&scene, is_declined, agent);
  g_assert_cmpint (agent->declined, ==, DECLINE_NO_WORK);
  scene_stream (&scene, &call);
  scene_run (&scene, has_queue, agent);
  g_assert_cmpint (agent->declined, ==, DECLINE_STALE);
  scene_zone (&scene, "out");
  for (int i = 0; i < 1000 && agent->declined != DECLINE_ZONE; i++)
    {
      agent->declined = 0;
      scene_grant (agent, "a", -1e9);
      scene_run (&scene, is_declined, agent);
    }
  g_assert_cmpint (agent->declined, ==, DECLINE_ZONE);
  /* Nobody took it in time: told at the deadline, truly not run.  */
  g_assert_true (scene_whole (&scene, &call));
  g_assert_nonnull (strstr (call.text->str, " 504 "));
  g_assert_nonnull (strstr (call.text->str, "\"run\":\"not-run\""));
  g_assert_nonnull (strstr (call.text->str, "Retry-After: "));
  scene_call_end (&call);
  scene_end (&scene);
}

static void
test_queue_full (void)
{
  scene_t scene;
  scene_call_t calls[4];

  scene_begin (&scene);
  DRAFT (&scene)->silent = true;
  for (unsigned i = 0; i < G_N_ELEMENTS (calls); i++)
    scene_stream (&scene, &calls[i]);
  unsigned refused = 0;
  for (unsigned i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      g_assert_true (scene_whole (&scene, &calls[i]));
      g_assert_nonnull (strstr (calls[i].text->str, "\"run\":\"not-run\""));
      g_assert_nonnull (strstr (calls[i].text->str, "Retry-After: "));
      refused += strstr (calls[i].text->str, " 429 ") != NULL;
      scene_call_end (&calls[i]);
    }
  /* Three wait until their deadline; the fourth hears at once.  */
  g_assert_cmpuint (refused, ==, 1);
  scene_end (&scene);
}

/* ---- the wall clock ---- */

#define JUMP_MS (G_GINT64_CONSTANT (24) * 3600 * 1000)

/* Ahead by a day and back again at each look.  */
static int64_t
jumping_wall (void)
{
  static bool ahead;

  ahead = !ahead;
  return g_get_real_time () / 1000 + (ahead ? JUMP_MS : -JUMP_MS);
}

/* The wall clock jumps by two days to and fro while a request waits, is
   assigned and answered, and while a grant is late.  The caller notices
   nothing: no deadline, link or claim is by that clock.  One that nobody takes
   is refused at its own deadline, after a second.  */
static void
test_wall_clock (void)
{
  scene_t scene;
  scene_call_t call;
  scene_agent_t *agent = REGISTER (&scene);

  clock_set_wall_source (jumping_wall);
  scene_begin (&scene);
  scene_post (&scene, &call);
  g_autofree char *request = scene_assigned (agent, 1);
  scene_head (agent, request);
  scene_data (agent, request, 0, "abc");
  scene_finish (agent, request, OUTCOME_COMPLETE, 3);
  g_assert_true (scene_whole (&scene, &call));
  g_autofree char *body = body_of (&call);
  g_assert_cmpstr (body, ==, "abc");
  scene_call_end (&call);

  DRAFT (&scene)->silent = true;
  cfd_time_t asked = clock_now ();
  scene_stream (&scene, &call);
  g_assert_true (scene_whole (&scene, &call));
  g_assert_nonnull (strstr (call.text->str, " 504 "));
  g_assert_cmpint (clock_now () - asked, >=, 900);
  scene_call_end (&call);
  scene_end (&scene);
  clock_set_wall_source (NULL);
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/router/answers", test_answers);
  g_test_add_func ("/router/crossed", test_crossed);
  g_test_add_func ("/router/attempts", test_attempts);
  g_test_add_func ("/router/retry-elsewhere", test_retry_elsewhere);
  g_test_add_func ("/router/declines", test_declines);
  g_test_add_func ("/router/queue-full", test_queue_full);
  g_test_add_func ("/router/wall-clock", test_wall_clock);
  return g_test_run ();
}
