/* Benchmark of an agent's choice among much waiting work: 1,800 accounts, each
   at three routers, with announcements that refresh a third of them each time.
   Prints microseconds, for docs/CAPACITY.md.  */

#include "dispatch/pick.h"
#include <stdio.h>

#define ACCOUNTS 1800u
#define ROUTERS 3u
#define ROUNDS 20u
#define GRANTS 200u
#define ANNOUNCE_LIFE_MS 3000

static char names[ACCOUNTS][24];
static const char *const routers[ROUTERS] = { "r-0", "r-1", "r-2" };

static void
announce (pick_t *pick, unsigned router, unsigned round, cfd_time_t now)
{
  static msg_waiting_t entries[ACCOUNTS];
  msg_announce_t message = { .service = "draft",
                             .full = true,
                             .life_ms = ANNOUNCE_LIFE_MS,
                             .count = ACCOUNTS,
                             .entries = entries };

  for (unsigned i = 0; i < ACCOUNTS; i++)
    entries[i] = (msg_waiting_t){ .account = names[i],
                                  .count = 4,
                                  .class_rank = i % 2,
                                  .oldest_ms = i % 700,
                                  .virtual_time = (i * 7919 + round) % 5003 };
  pick_apply_announcement (pick, routers[router], &message, now);
}

int
main (void)
{
  g_autoptr (pick_t) pick = pick_new ();
  int64_t announce_us = 0;
  int64_t choose_us = 0;
  cfd_time_t now = 0;

  for (unsigned i = 0; i < ACCOUNTS; i++)
    g_snprintf (names[i], sizeof names[i], "account-%05u", i);
  for (unsigned round = 0; round < ROUNDS; round++, now += 100)
    {
      int64_t start = clock_now_us ();

      for (unsigned router = 0; router < ROUTERS; router++)
        announce (pick, router, round, now);
      announce_us += clock_now_us () - start;
      start = clock_now_us ();
      for (unsigned i = 0; i < GRANTS; i++)
        {
          pick_choice_t choice;
          unsigned in_flight = pick_expire_grants (pick, now);
          uint64_t grant = pick_make_grant (pick, now, &choice);
          msg_waiting_t left = { choice.account, 3, 0, 10, 6000 + i };
          g_autofree char *account = g_strdup (choice.account);

          g_assert (in_flight == 0);
          left.account = account;
          (void)pick_complete_grant (pick, grant, now);
          pick_update_waiting (pick, choice.router, &left, now);
        }
      choose_us += clock_now_us () - start;
    }
  printf ("accounts %u routers %u\n", ACCOUNTS, ROUTERS);
  printf ("expiry, grant, answer and news of it: %.1f us\n",
          (double)choose_us / (ROUNDS * GRANTS));
  printf ("entry of a whole announcement: %.2f us\n",
          (double)announce_us / (ROUNDS * ROUTERS * ACCOUNTS));
  return 0;
}
