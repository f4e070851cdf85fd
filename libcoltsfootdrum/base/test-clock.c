/* Tests of the clocks: boot time doesn't go backward, and the logical stamp of
   an event is greater than those of its causes.  */

#include "base/clock.h"
#include <glib.h>

static void
test_forward (void)
{
  cfd_time_t before = clock_now ();

  g_assert_cmpint (clock_now (), >=, before);
}

static void
test_stamp_follows_cause (void)
{
  /* A peer whose wall clock is an hour ahead sends a frame.  The next local
     event must have a greater stamp, or the timeline would show effects before
     their causes.  */
  hlc_t ours = { 0 };
  hlc_t theirs = { 0 };
  uint64_t sent = hlc_tick (&theirs, 1000 + 3600000);

  hlc_merge (&ours, sent, 1000);
  g_assert_cmpuint (hlc_tick (&ours, 1001), >, sent);
}

static void
test_wall_goes_back (void)
{
  /* An operator sets the wall clock back by a day: later events must still get
     greater stamps than earlier ones.  */
  hlc_t ours = { 0 };
  uint64_t before = hlc_tick (&ours, 24 * 3600000);

  g_assert_cmpuint (hlc_tick (&ours, 1000), >, before);
  hlc_merge (&ours, 5, 1000);
  g_assert_cmpuint (hlc_tick (&ours, 1000), >, before + 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/clock/forward", test_forward);
  g_test_add_func ("/clock/stamp-follows-cause", test_stamp_follows_cause);
  g_test_add_func ("/clock/wall-goes-back", test_wall_goes_back);
  return g_test_run ();
}
