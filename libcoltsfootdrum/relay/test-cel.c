/* Tests of cells: their number, even sizes, and few moves when routers and
   endpoints come and go.  */

#include "relay/cel.h"

#include <math.h>
#include <string.h>

#define CELLS 8
#define ZONES 4

static const char *const zones[ZONES] = { "a", "b", "c", "d" };

static GArray *
make_items (GRand *random, const char *service, unsigned count)
{
  GArray *items = g_array_new (FALSE, FALSE, sizeof (cel_item_t));

  for (unsigned i = 0; i < count; i++)
    {
      cel_item_t item = { .service = service,
                          .zone = zones[i % ZONES],
                          .hash = (uint64_t)g_rand_int (random) << 32
                                  | g_rand_int (random) };

      g_array_append_val (items, item);
    }
  return items;
}

static unsigned
count_in_cell (const GArray *items, unsigned cell, const char *zone)
{
  unsigned count = 0;

  for (guint i = 0; i < items->len; i++)
    {
      const cel_item_t *item = &g_array_index (items, cel_item_t, i);

      count += cel_contains (item, cell)
               && (zone == NULL || g_str_equal (item->zone, zone));
    }
  return count;
}

typedef struct
{
  const char *name;
  unsigned routers;
  unsigned endpoints;
  unsigned current;
  unsigned expected;
} count_case_t;

static const count_case_t count_cases[] = {
  { "none", 1, 0, 1, 1 },
  { "small", 22, 45, 1, 1 },
  { "many-routers-few-endpoints", 300, 100, 1, 1 },
  { "few-routers-many-endpoints", 30, 3000, 1, 1 },
  { "hundred", 99, 998, 1, 4 },
  { "three-hundred", 302, 3002, 1, 16 },
  { "thousand", 1000, 10000, 1, 32 },
  /* Some routers or endpoints are lost: the division stays.  */
  { "loss", 100, 1600, 8, 8 },
  { "great-loss", 90, 1600, 8, 4 },
  { "return", 302, 3002, 4, 16 },
};

static void
test_count (gconstpointer data)
{
  const count_case_t *test = data;

  g_assert_cmpuint (
      cel_choose_count (test->routers, test->endpoints, test->current), ==,
      test->expected);
}

/* Each cell has its part of each zone.  */
static void
test_even (void)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (1);
  g_autoptr (GArray) items = make_items (random, "app", 2960);
  unsigned expected = items->len / CELLS / ZONES;

  cel_divide (items, CELLS);
  for (unsigned cell = 0; cell < CELLS; cell++)
    for (unsigned zone = 0; zone < ZONES; zone++)
      {
        unsigned count = count_in_cell (items, cell, zones[zone]);

        g_assert_cmpuint (count, >=, expected);
        g_assert_cmpuint (count, <=, expected + 1);
      }
}

/* Few items are shared by neighbouring cells, so that no cell is without.  */
static void
test_few (void)
{
  for (unsigned count = 1; count < 64; count++)
    {
      g_autoptr (GRand) random = g_rand_new_with_seed (count);
      g_autoptr (GArray) items = make_items (random, "app", count);

      cel_divide (items, CELLS);
      for (unsigned cell = 0; cell < CELLS; cell++)
        g_assert_cmpuint (count_in_cell (items, cell, NULL), >, 0);
    }
}

/* Returns how many items of BEFORE are in other cells in AFTER.  */
static unsigned
count_moves (const GArray *before, const GArray *after)
{
  unsigned moves = 0;

  for (guint i = 0; i < before->len; i++)
    for (guint k = 0; k < after->len; k++)
      {
        const cel_item_t *old = &g_array_index (before, cel_item_t, i);
        const cel_item_t *new = &g_array_index (after, cel_item_t, k);

        if (old->hash == new->hash)
          moves += old->first != new->first;
      }
  return moves;
}

/* When an item comes or goes, at most one moves over each boundary of its
   zone.  */
static void
test_moves (void)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (3);
  g_autoptr (GArray) items = make_items (random, "app", 600);

  cel_divide (items, CELLS);
  for (unsigned i = 0; i < 50; i++)
    {
      g_autoptr (GArray) after = g_array_copy (items);

      g_array_remove_index (
          after, (guint)g_rand_int_range (random, 0, (gint32)after->len));
      cel_divide (after, CELLS);
      g_assert_cmpuint (count_moves (items, after), <, CELLS);
    }
}

/* A service is divided by itself, whatever other services have.  */
static void
test_services (void)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (4);
  g_autoptr (GArray) items = make_items (random, "app", 400);
  g_autoptr (GArray) few = make_items (random, "register", 8);

  g_array_append_vals (items, few->data, few->len);
  cel_divide (items, CELLS);
  for (guint i = 0; i < items->len; i++)
    {
      const cel_item_t *item = &g_array_index (items, cel_item_t, i);
      bool is_divided = g_str_equal (item->service, "app");

      g_assert_cmpuint (item->count, ==, is_divided ? 1 : 4);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (count_cases); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/cel/count/%s", count_cases[i].name);

      g_test_add_data_func (path, &count_cases[i], test_count);
    }
  g_test_add_func ("/cel/even", test_even);
  g_test_add_func ("/cel/few", test_few);
  g_test_add_func ("/cel/moves", test_moves);
  g_test_add_func ("/cel/services", test_services);
  return g_test_run ();
}
