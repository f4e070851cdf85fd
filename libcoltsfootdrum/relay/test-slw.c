/* Tests of what becomes of the answer to a caller that reads slowly.  */

#include "relay/slw.h"

#include <glib.h>

#define SHARE 100000u
#define LIMIT 1000000u

typedef struct
{
  const char *name;
  slw_state_t state;
  slw_action_t action;
} case_t;

#define READING .share = SHARE, .limit = LIMIT
#define PAUSED READING, .is_paused = true

static const case_t cases[] = {
  { "reads", { .unsent = SHARE, READING }, SLW_READ },
  { "pauses", { .unsent = SHARE + 1, READING }, SLW_PAUSE },
  { "stays-paused",
    { .unsent = SHARE + 1, PAUSED, .paused_ms = SLW_MAX_PAUSE_MS - 1 },
    SLW_PAUSE },
  /* Guards against an answer that is left unread until its caller has read
     all that waits for it.  */
  { "reads-on", { .unsent = SHARE / 2, PAUSED }, SLW_READ },
  /* Guards against an answer that its endpoint cuts off, as it is left unread
     for seconds.  */
  { "drains",
    { .unsent = SHARE + 1, PAUSED, .paused_ms = SLW_MAX_PAUSE_MS },
    SLW_DRAIN },
  { "drains-on",
    { .unsent = LIMIT - SLW_STEP_BYTES, READING, .is_draining = true },
    SLW_DRAIN },
  /* Guards against a buffer without a limit.  */
  { "full",
    { .unsent = LIMIT - SLW_STEP_BYTES + 1, READING, .is_draining = true },
    SLW_PAUSE },
  { "stays-full",
    { .unsent = LIMIT,
      PAUSED,
      .is_draining = true,
      .paused_ms = SLW_MAX_FULL_MS - 1 },
    SLW_PAUSE },
  { "room",
    { .unsent = LIMIT - SLW_STEP_BYTES,
      PAUSED,
      .is_draining = true,
      .paused_ms = SLW_MAX_FULL_MS },
    SLW_DRAIN },
  /* Guards against an endpoint that waits for a caller that reads nothing.  */
  { "disconnects",
    { .unsent = LIMIT,
      PAUSED,
      .is_draining = true,
      .paused_ms = SLW_MAX_FULL_MS },
    SLW_DISCONNECT },
  { "disconnects-without-memory",
    { .unsent = SHARE + 1,
      .share = SHARE,
      .limit = SHARE,
      .is_paused = true,
      .paused_ms = SLW_MAX_FULL_MS },
    SLW_DISCONNECT },
};

static void
test_case (const void *data)
{
  const case_t *test = data;

  g_assert_cmpint (slw_decide (&test->state), ==, test->action);
}

#define STEP_MS 25
#define STREAM_BYTES_PER_STEP 65536u
/* An answer that stays unread for this time is cut off.  */
#define ENDPOINT_PATIENCE_MS 3000

/* Applies the decision for a minute to an endless answer, of which the caller
   reads READ_PER_STEP bytes each step.  Returns whether it was
   disconnected.  */
static bool
simulate (size_t read_per_step)
{
  slw_state_t state = { READING };
  int64_t unread_ms = 0;

  for (int64_t at = 0; at < 60000; at += STEP_MS)
    {
      slw_action_t action;

      state.unsent -= MIN (state.unsent, read_per_step);
      action = slw_decide (&state);
      if (action == SLW_DISCONNECT)
        return true;
      if (action == SLW_PAUSE)
        {
          state.paused_ms = state.is_paused ? state.paused_ms + STEP_MS : 0;
          unread_ms += STEP_MS;
        }
      else
        {
          state.is_draining = action == SLW_DRAIN;
          state.unsent += STREAM_BYTES_PER_STEP;
          unread_ms = 0;
        }
      state.is_paused = action == SLW_PAUSE;
      g_assert_cmpint (unread_ms, <, ENDPOINT_PATIENCE_MS);
      g_assert_cmpuint (state.unsent, <=, LIMIT);
    }
  return false;
}

/* Guards against answers that are left unread for seconds, whatever their
   caller reads, and against disconnecting one that reads steadily.  */
static void
test_any_speed (void)
{
  static const size_t slow[] = { 0, 1, 100 };
  static const size_t steady[] = { 2000, 10000, 65536, 1000000 };

  for (unsigned i = 0; i < G_N_ELEMENTS (slow); i++)
    g_assert_true (simulate (slow[i]));
  for (unsigned i = 0; i < G_N_ELEMENTS (steady); i++)
    g_assert_false (simulate (steady[i]));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/slw/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
    }
  g_test_add_func ("/slw/any-speed", test_any_speed);
  return g_test_run ();
}
