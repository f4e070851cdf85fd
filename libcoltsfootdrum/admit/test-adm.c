/* Admission: order by class and age, bounds, deadlines, times to come back. */

#include "admit/adm.h"

static adm_item_t
item_of (const char *account, unsigned rank, cfd_time_t since)
{
  return (adm_item_t){ .account = account,
                       .service = "draft",
                       .class_rank = rank,
                       .cost = 100,
                       .since = since,
                       .deadline = since + 60000 };
}

static void
offer (adm_t *adm, adm_item_t *item)
{
  int retry;

  g_assert_true (adm_enqueue (adm, item, 100, item->since, &retry));
}

static void
test_order (void)
{
  /* Two items come at SINCE with their classes; which goes first at NOW.  */
  static const struct
  {
    unsigned rank[2];
    cfd_time_t since[2];
    cfd_time_t now;
    unsigned first;
  } cases[] = {
    { { 0, 1 }, { 100, 0 }, 200, 0 },     /* better class */
    { { 0, 0 }, { 100, 0 }, 200, 1 },     /* older */
    { { 0, 1 }, { 14000, 0 }, 14999, 0 }, /* not aged yet */
    { { 0, 1 },
      { 14000, 0 },
      ADM_AGEING_INTERVAL_MS,
      1 }, /* aged: as good and older */
    { { 0, 2 },
      { 16000, 0 },
      ADM_AGEING_INTERVAL_MS + 1000,
      0 }, /* one class gained */
    { { 0, 99 },
      { 1, 0 },
      1000 * ADM_AGEING_INTERVAL_MS,
      1 }, /* never starves */
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (adm_t) adm = adm_new ();
      adm_item_t items[2];

      for (unsigned j = 0; j < 2; j++)
        {
          items[j] = item_of ("a", cases[i].rank[j], cases[i].since[j]);
          offer (adm, &items[j]);
        }
      g_assert_true (adm_dequeue (adm, "a", "draft", cases[i].now)
                     == &items[cases[i].first]);
      g_assert_true (adm_dequeue (adm, "a", "draft", cases[i].now)
                     == &items[1 - cases[i].first]);
      g_assert_null (adm_dequeue (adm, "a", "draft", cases[i].now));
    }
}

static void
test_bound_and_return (void)
{
  /* A full queue refuses at once; a request that an agent did not start gets
     its old place back even then.  */
  g_autoptr (adm_t) adm = adm_new ();
  adm_item_t items[3]
      = { item_of ("a", 0, 0), item_of ("a", 0, 1), item_of ("a", 0, 2) };
  adm_item_t other = item_of ("b", 0, 3);
  int retry;

  g_assert_true (adm_enqueue (adm, &items[0], 2, 0, &retry));
  g_assert_true (adm_enqueue (adm, &items[1], 2, 1, &retry));
  g_assert_false (adm_enqueue (adm, &items[2], 2, 2, &retry));
  g_assert_true (adm_enqueue (adm, &other, 2, 3, &retry));
  g_assert_true (adm_dequeue (adm, "a", "draft", 4) == &items[0]);
  g_assert_true (adm_enqueue (adm, &items[2], 2, 4, &retry));
  adm_requeue (adm, &items[0]);
  g_assert_cmpuint (adm_count_waiting (adm), ==, 4);
  g_assert_true (adm_dequeue (adm, "a", "draft", 5) == &items[0]);
}

static bool
is_not (void *user, const adm_item_t *item)
{
  return item != user;
}

/* The first in its place may not go to this agent: the next does, and the
   first keeps its place for others.  */
static void
test_allowed (void)
{
  g_autoptr (adm_t) adm = adm_new ();
  adm_item_t items[2] = { item_of ("a", 0, 0), item_of ("a", 0, 1) };

  offer (adm, &items[0]);
  g_assert_false (adm_has_allowed (adm, "a", "draft", is_not, &items[0]));
  g_assert_null (
      adm_dequeue_allowed (adm, "a", "draft", 2, is_not, &items[0]));
  offer (adm, &items[1]);
  g_assert_true (adm_has_allowed (adm, "a", "draft", is_not, &items[0]));
  g_assert_true (adm_dequeue_allowed (adm, "a", "draft", 2, is_not, &items[0])
                 == &items[1]);
  g_assert_true (adm_dequeue (adm, "a", "draft", 3) == &items[0]);
  g_assert_false (adm_has_allowed (adm, "a", "draft", is_not, NULL));
}

static void
test_info (void)
{
  g_autoptr (adm_t) adm = adm_new ();
  adm_item_t items[2] = { item_of ("a", 1, 100), item_of ("a", 0, 200) };
  adm_queue_info_t info;

  offer (adm, &items[0]);
  offer (adm, &items[1]);
  adm_get_queue_info (adm, "a", "draft", 300, &info);
  g_assert_cmpuint (info.count, ==, 2);
  g_assert_cmpuint (info.class_rank, ==, 0);
  g_assert_cmpint (info.oldest, ==, 100);
  g_assert_cmpfloat (info.cost, ==, 200);
  adm_remove (adm, &items[1]);
  adm_remove (adm, &items[1]);
  adm_get_queue_info (adm, "a", "draft", 300, &info);
  g_assert_cmpuint (info.count, ==, 1);
  g_assert_cmpuint (info.class_rank, ==, 1);
  adm_remove (adm, &items[0]);
  adm_get_queue_info (adm, "a", "draft", 300, &info);
  g_assert_cmpuint (info.count, ==, 0);
}

static void
count_one (void *user, adm_item_t *item)
{
  (*(unsigned *)user)++;
}

static void
test_deadlines (void)
{
  g_autoptr (adm_t) adm = adm_new ();
  adm_item_t items[3]
      = { item_of ("a", 0, 0), item_of ("b", 0, 0), item_of ("c", 0, 0) };
  unsigned expired = 0;

  items[0].deadline = 300;
  items[1].deadline = 100;
  items[2].deadline = 200;
  g_assert_cmpint (adm_next_deadline (adm), ==, CFD_TIME_NEVER);
  for (unsigned i = 0; i < 3; i++)
    offer (adm, &items[i]);
  g_assert_cmpint (adm_next_deadline (adm), ==, 100);
  adm_expire (adm, 99, count_one, &expired);
  g_assert_cmpuint (expired, ==, 0);
  adm_expire (adm, 200, count_one, &expired);
  g_assert_cmpuint (expired, ==, 2);
  g_assert_cmpint (adm_next_deadline (adm), ==, 300);
  g_assert_null (adm_dequeue (adm, "b", "draft", 201));
}

static void
keep_retry (void *user, adm_item_t *item)
{
  *(int *)user = item->retry_after_s;
}

/* The only request of an account expires: nothing was taken all the time, and
   nobody knows better than that.  With the pace of former takes that is what
   counts.  */
static void
test_retry_after_expiry (void)
{
  static const struct
  {
    unsigned takes; /* before, one each 500 ms */
    cfd_time_t waits;
    int retry;
  } cases[] = {
    { 0, 30000, 30 },
    { 0, 100000, ADM_RETRY_MAX_S },
    { 3, 200, 1 },
    { 3, 8000, 8 },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (adm_t) adm = adm_new ();
      adm_item_t items[4];
      unsigned takes = cases[i].takes;
      cfd_time_t end = 500 * takes + cases[i].waits;
      int retry = 0;

      for (unsigned j = 0; j <= takes; j++)
        {
          items[j] = item_of ("a", 0, 0);
          items[j].deadline = end;
          offer (adm, &items[j]);
        }
      for (unsigned j = 0; j < takes; j++)
        g_assert_true (adm_dequeue (adm, "a", "draft", 500 * (j + 1))
                       == &items[j]);
      adm_expire (adm, end, keep_retry, &retry);
      g_assert_cmpint (retry, ==, cases[i].retry);
    }
}

static void
test_retry_after (void)
{
  /* WAITING items; TAKES of them go, one each GAP ms; then a pause.  */
  static const struct
  {
    unsigned waiting;
    unsigned takes;
    cfd_time_t gap;
    cfd_time_t pause;
    int least;
    int most;
  } cases[] = {
    { 10, 0, 0, 0, ADM_RETRY_MIN_S, ADM_RETRY_MIN_S },
    { 20, 10, 500, 0, 5, 5 },
    { 20, 10, 10, 0, ADM_RETRY_MIN_S, ADM_RETRY_MIN_S },
    { 20, 10, 500, 2000, 20, 20 }, /* it stopped draining */
    { 20, 0, 0, 100000, ADM_RETRY_MAX_S, ADM_RETRY_MAX_S },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (adm_t) adm = adm_new ();
      adm_item_t items[20];
      cfd_time_t now = 0;
      int retry;

      for (unsigned j = 0; j < cases[i].waiting; j++)
        {
          items[j] = item_of ("a", 0, 0);
          offer (adm, &items[j]);
        }
      for (unsigned j = 0; j < cases[i].takes; j++)
        {
          now += cases[i].gap;
          adm_dequeue (adm, "a", "draft", now);
        }
      retry = adm_estimate_retry_after_s (adm, "a", "draft",
                                          now + cases[i].pause);
      g_assert_cmpint (retry, >=, cases[i].least);
      g_assert_cmpint (retry, <=, cases[i].most);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/adm/retry-after-expiry", test_retry_after_expiry);
  g_test_add_func ("/adm/allowed", test_allowed);
  g_test_add_func ("/adm/order", test_order);
  g_test_add_func ("/adm/bound-and-return", test_bound_and_return);
  g_test_add_func ("/adm/info", test_info);
  g_test_add_func ("/adm/deadlines", test_deadlines);
  g_test_add_func ("/adm/retry-after", test_retry_after);
  return g_test_run ();
}
