/* Tests of counting tokens and usage, and of measuring token times, in answers
   that arrive in arbitrary pieces.  */

#include "agent/agent-sse.h"
#include <string.h>

#define TOKEN "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
#define USAGE                                                                 \
  "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,"                     \
  "\"completion_tokens\":5}}\n\n"
#define DONE "data: [DONE]\n\n"

static const struct
{
  const char *name;
  bool streamed;
  const char *text;
  unsigned prompt;
  unsigned output;
  bool done;
} cases[] = {
  { "empty", true, "", 0, 0, false },
  { "cut-short", true, TOKEN TOKEN, 0, 2, false },
  /* Guards against an end mark that is cut inside its event, which clients
     discard, and taken for a whole stream.  */
  { "end-mark-without-blank-line", true, TOKEN "data: [DONE]\n", 0, 1, false },
  { "end-mark-without-line-end", true, TOKEN "data: [DONE]", 0, 1, false },
  { "end-mark-and-carriage-returns", true, TOKEN "data: [DONE]\r\n\r\n", 0, 1,
    true },
  { "usage-wins", true, TOKEN TOKEN USAGE DONE, 7, 5, true },
  { "no-usage", true, TOKEN DONE, 0, 1, true },
  { "null-usage", true,
    "data: {\"choices\":[{\"text\":\"x\"}],\"usage\":null}\r\n\r\n" DONE, 0, 1,
    true },
  { "comments-are-no-tokens", true, ": ping\n\nevent: x\n\n" TOKEN, 0, 1,
    false },
  { "not-json", true, "data: {\"usage\" nonsense\n\n" DONE, 0, 1, true },
  { "negative-usage", true,
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":-1,"
    "\"completion_tokens\":-9}}\n\n",
    0, 0, false },
  { "whole", false,
    "{\"choices\":[{}],\"usage\":{\"prompt_tokens\":3,"
    "\"completion_tokens\":4}}",
    3, 4, true },
  { "whole-nothing", false, "", 0, 0, false },
  { "whole-without-usage", false, "{\"choices\":[{}]}", 0, 0, true },
  { "whole-cut-short", false, "{\"usage\":{\"prompt_tokens\":3", 0, 0, false },
};

static void
test_table (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (size_t piece = 1; piece < 40; piece += 6)
      {
        const char *at = cases[i].text;
        size_t left = strlen (at);
        sse_t sse;

        sse_init (&sse, cases[i].streamed);
        while (left > 0)
          {
            size_t part = MIN (left, piece);

            sse_feed (&sse, at, part, 100);
            at += part;
            left -= part;
          }
        sse_finish (&sse);
        g_test_message ("%s in pieces of %zu", cases[i].name, piece);
        g_assert_cmpuint (sse.prompt_tokens, ==, cases[i].prompt);
        g_assert_cmpuint (sse_count_output_tokens (&sse), ==, cases[i].output);
        g_assert_cmpint (sse.is_complete, ==, cases[i].done);
        sse_clear (&sse);
      }
}

/* One stall isn't taken for a slow endpoint; three slow intervals are.  */
static void
test_times (void)
{
  static const int intervals_ms[] = { 0, 20, 20, 400, 20, 20, 20, 80, 80, 80 };
  static const int medians_ms[] = { 0, 0, 0, 0, 0, 20, 20, 20, 20, 80 };
  cfd_time_t now = 1000;
  sse_t sse;

  sse_init (&sse, true);
  for (size_t i = 0; i < G_N_ELEMENTS (intervals_ms); i++)
    {
      now += intervals_ms[i];
      sse_feed (&sse, TOKEN, strlen (TOKEN), now);
      g_assert_cmpint ((int)sse_get_median_interval_ms (&sse), ==,
                       medians_ms[i]);
    }
  g_assert_cmpint (sse.first_token_at, ==, 1000);
  g_assert_cmpint ((int)sse_get_mean_interval_ms (&sse), ==, 740 / 9);
  sse_clear (&sse);
}

/* An engine with two requests turns cold, with a token every 300 ms.  The
   median of the newest intervals is still low for three more of them; if it
   counted as proof of a warm endpoint, new work would be accepted for another
   second.  The newest interval shows the change at once.  */
static void
test_newest_interval (void)
{
  static const int intervals_ms[] = { 0, 20, 20, 20, 20, 20, 300, 300 };
  static const int newest_ms[] = { 0, 20, 20, 20, 20, 20, 300, 300 };
  cfd_time_t now = 1000;
  sse_t sse;

  sse_init (&sse, true);
  for (size_t i = 0; i < G_N_ELEMENTS (intervals_ms); i++)
    {
      now += intervals_ms[i];
      sse_feed (&sse, TOKEN, strlen (TOKEN), now);
      g_assert_cmpint ((int)sse_get_newest_interval_ms (&sse), ==,
                       newest_ms[i]);
    }
  g_assert_cmpint ((int)sse_get_median_interval_ms (&sse), ==, 20);
  sse_clear (&sse);
}

/* An endless line is skipped, not kept, and doesn't hide what follows.  */
static void
test_endless_line (void)
{
  g_autofree char *junk = g_strnfill (SSE_MAX_LINE_BYTES / 2, 'x');
  sse_t sse;

  sse_init (&sse, true);
  for (int i = 0; i < 4; i++)
    sse_feed (&sse, junk, strlen (junk), 1);
  g_assert_cmpuint (sse.buffer->len, <=, SSE_MAX_LINE_BYTES);
  sse_feed (&sse, "\n" TOKEN DONE, strlen ("\n" TOKEN DONE), 1);
  g_assert_cmpuint (sse.token_events, ==, 1);
  g_assert_true (sse.is_complete);
  sse_clear (&sse);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/sse/table", test_table);
  g_test_add_func ("/sse/times", test_times);
  g_test_add_func ("/sse/newest-interval", test_newest_interval);
  g_test_add_func ("/sse/endless-line", test_endless_line);
  return g_test_run ();
}
