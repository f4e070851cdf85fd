/* The store against what the platform and peers may say, in any order: it
   never goes back, and all stores come to the same state.  */

#include "base/log.h"
#include "config/test-store-help.h"

#include <string.h>

static void
test_never_reverts (void)
{
  /* A zone is taken out; then a lagging replica answers the list, and an old
     watch answer comes late.  The zone must stay out.  */
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);
  g_autofree char *old_list = NULL;
  g_autofree char *old_watch = NULL;

  write_zone (model, "a", IN);
  old_list = sp_model_list (model, KINDS);
  old_watch = sp_model_list_changes (model, 0, KINDS);
  write_zone (model, "a", OUT);
  take_list (store, model);
  g_assert_true (store_is_zone_out (store, "a"));
  take (store, old_list, true);
  take (store, old_watch, false);
  g_assert_true (store_is_zone_out (store, "a"));
  g_assert_cmpuint (store_get_revision (store), ==, 2);
  sp_model_free (model);
}

static void
test_no_resurrection (void)
{
  /* An account is deleted before this process starts, so that nothing here
     knows of it; then a lagging replica still lists it.  Its key must not be
     good again, nor the old answer count as fresh word.  */
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);
  g_autofree char *old_list = NULL;
  g_autoptr (JsonObject) old = NULL;

  write_zone (model, "a", OUT);
  old_list = sp_model_list (model, KINDS);
  old = object_from (old_list);
  write_zone (model, "a", NULL);
  take_list (store, model); /* at 1000 */
  store_apply_objects (store, old, 9000);
  g_assert_null (store_get (store, REC_ZONE, "a"));
  g_assert_cmpuint (store_get_age_ms (store, 9000), ==, 8000);
  sp_model_free (model);
}

static void
test_unknown_schema (void)
{
  /* A newer writer uses schema 9.  Here the last good record stays in force; a
     peer that is behind still gets the new text, since it may be newer.  */
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);
  msg_config_part_t part;

  write_zone (model, "a", OUT);
  take_list (store, model);
  write_zone (model, "a", NEWER);
  write_zone (model, "b", NEWER);
  take_list (store, model);
  g_assert_cmpuint (store_get_revision (store), ==, 3);
  g_assert_true (store_is_zone_out (store, "a"));
  g_assert_null (store_get (store, REC_ZONE, "b"));
  store_make_part (store, ROLE_ROUTER, &(msg_config_ask_t){ 0 }, 0, &part);
  g_assert_cmpuint (part.count, ==, 1);
  g_assert_nonnull (strstr (part.records[0], "\"schema\":9"));
  g_assert_null (strstr (part.records[0], "\"schema\":2"));
  store_part_clear (&part);
  write_zone (model, "a", IN);
  take_list (store, model);
  g_assert_false (store_is_zone_out (store, "a"));
  sp_model_free (model);
}

static void
test_two_versions (void)
{
  /* The fleet is updated unevenly: an old program reads version 1 alone.  A
     writer of version 2 takes the zone out; the old program goes on with what
     it had, says so in its log, and passes the new text on, so that a new
     program which hears of it through the old one alone is right.  Once the
     record is written as version 1 again, all agree.  */
  g_autoptr (store_t) new_one = store_new (NULL, NULL, NULL);
  g_autoptr (store_t) old_one = store_new (NULL, NULL, NULL);
  g_autoptr (store_t) behind = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);

  old_one->schema_newest = 1;
  write_zone (model, "a", IN);
  take_list (new_one, model);
  take_part (old_one, new_one, 0);
  take_part (behind, old_one, 0);
  write_zone (model, "a", OUT);
  take_list (new_one, model);
  take_part (old_one, new_one, 1);
  take_part (behind, old_one, 1);
  g_assert_true (store_is_zone_out (new_one, "a"));
  g_assert_false (store_is_zone_out (old_one, "a"));
  g_assert_true (store_is_zone_out (behind, "a"));
  g_assert_cmpuint (store_get_revision (old_one), ==, 2);
  write_zone (model, "a", "{\"schema\":1,\"out\":true}");
  take_list (new_one, model);
  take_part (old_one, new_one, 2);
  g_assert_true (store_is_zone_out (old_one, "a"));
  sp_model_free (model);
}

static void
test_part_with_gap (void)
{
  /* A part that begins after what is known would hide what lies between.  */
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  const char *record
      = "{\"kind\":\"availability-zone\",\"name\":\"a\",\"version\":\"v\","
        "\"revision\":9,\"spec\":" OUT "}";
  msg_config_part_t part
      = { .from = 5, .up_to = 9, .count = 1, .records = &record };

  store_apply_part (store, &part, 0);
  g_assert_cmpuint (store_get_revision (store), ==, 0);
  g_assert_false (store_is_zone_out (store, "a"));
  part.from = 0;
  store_apply_part (store, &part, 0);
  g_assert_cmpuint (store_get_revision (store), ==, 9);
  g_assert_true (store_is_zone_out (store, "a"));
}

static void
test_deleted_in_gap (void)
{
  /* A record is deleted while one store is cut off and the other has not
     started.  The late one knows of no deletion; the cut-off one must lose the
     record all the same, or it would stay in force there for ever.  */
  g_autoptr (store_t) cut_off = store_new (NULL, NULL, NULL);
  g_autoptr (store_t) late = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);

  write_zone (model, "a", OUT);
  take_list (cut_off, model);
  write_zone (model, "a", NULL);
  write_zone (model, "b", IN);
  take_list (late, model);
  take_part (cut_off, late, store_get_revision (cut_off));
  g_assert_null (store_get (cut_off, REC_ZONE, "a"));
  g_assert_nonnull (store_get (cut_off, REC_ZONE, "b"));
  g_assert_cmpuint (store_get_revision (cut_off), ==, 3);
  sp_model_free (model);
}

static void
test_age (void)
{
  /* Age goes along with a part, so that a chain of peers can't make old
     knowledge look fresh.  */
  g_autoptr (store_t) first = store_new (NULL, NULL, NULL);
  g_autoptr (store_t) second = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);

  g_assert_cmpuint (store_get_age_ms (first, 5000), ==, UINT32_MAX);
  take_part (second, first, 0);
  g_assert_cmpuint (store_get_age_ms (second, 5000), ==, UINT32_MAX);
  write_zone (model, "a", IN);
  take_list (first, model);     /* at 1000 */
  take_part (second, first, 0); /* at 2000 */
  g_assert_cmpuint (store_get_age_ms (first, 5000), ==, 4000);
  g_assert_cmpuint (store_get_age_ms (second, 5000), ==, 4000);
  sp_model_free (model);
}

typedef struct
{
  unsigned records;
  unsigned deleted;
} heard_t;

static void
on_record (void *user, const rec_t *record, cfd_time_t now)
{
  heard_t *heard = user;

  heard->records++;
  if (record->deleted)
    heard->deleted++;
}

static void
test_events (void)
{
  const store_events_t events = { .record = on_record };
  heard_t heard = { 0 };
  g_autoptr (store_t) store = store_new (NULL, &events, &heard);
  sp_model_t *model = sp_model_new (100);

  write_zone (model, "a", IN);
  write_zone (model, "b", IN);
  take_list (store, model);
  take_list (store, model);
  g_assert_cmpuint (heard.records, ==, 2);
  write_zone (model, "a", NULL);
  take_list (store, model);
  take_list (store, model);
  g_assert_cmpuint (heard.records, ==, 3);
  g_assert_cmpuint (heard.deleted, ==, 1);
  sp_model_free (model);
}

/* ---- all together, at random ---- */

#define STORES 3
#define STEPS 3000
#define NAMES 6

/* What the platform's state says of zone NAME.  */
static void
assert_same (const store_t *store, const sp_model_t *model, const char *name)
{
  const sp_object_t *object
      = sp_model_get_latest (model, "availability-zone", name);
  const rec_t *record = store_get (store, REC_ZONE, name);

  if (object == NULL || strstr (object->text, "\"schema\":9") != NULL)
    {
      g_assert_true (object != NULL || record == NULL);
      return;
    }
  g_assert_nonnull (record);
  g_assert_cmpuint (record->revision, ==, object->revision);
}

/* One event of the world, which may bring old knowledge late.  */
static void
random_step (GRand *random, sp_model_t *model, store_t **stores,
             GPtrArray *late)
{
  static const char *const specs[] = { IN, OUT, NEWER, NULL };
  store_t *store = stores[g_rand_int_range (random, 0, STORES)];
  store_t *other = stores[g_rand_int_range (random, 0, STORES)];
  char name[2] = { (char)('a' + g_rand_int_range (random, 0, NAMES)), '\0' };

  switch (g_rand_int_range (random, 0, 6))
    {
    case 0:
    case 1:
      write_zone (model, name,
                  specs[g_rand_int_range (random, 0, G_N_ELEMENTS (specs))]);
      g_ptr_array_add (late, sp_model_list (model, KINDS));
      break;
    case 2:
      take_part (store, other, store_get_revision (store));
      break;
    case 3:
      /* The receiver has moved on since it asked.  */
      take_part (store, other,
                 g_rand_int_range (random, 0,
                                   (gint32)store_get_revision (store) + 1));
      break;
    case 4:
      if (late->len > 0)
        take (store,
              g_ptr_array_index (
                  late, g_rand_int_range (random, 0, (gint32)late->len)),
              true);
      break;
    default:
      {
        g_autofree char *changes
            = sp_model_list_changes (model, store_get_revision (store), KINDS);

        if (changes != NULL)
          take (store, changes, false);
        break;
      }
    }
}

static void
run_random (guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  sp_model_t *model = sp_model_new (20);
  g_autoptr (GPtrArray) late = g_ptr_array_new_with_free_func (g_free);
  store_t *stores[STORES];
  uint64_t before[STORES] = { 0 };

  for (int i = 0; i < STORES; i++)
    stores[i] = store_new (NULL, NULL, NULL);
  for (int step = 0; step < STEPS; step++)
    {
      random_step (random, model, stores, late);
      for (int i = 0; i < STORES; i++)
        {
          g_assert_cmpuint (store_get_revision (stores[i]), >=, before[i]);
          before[i] = store_get_revision (stores[i]);
          for (char name[2] = "a"; name[0] < 'a' + NAMES; name[0]++)
            if (before[i] == sp_model_get_revision (model, NULL))
              assert_same (stores[i], model, name);
        }
    }
  for (int i = 0; i < STORES; i++)
    {
      take_list (stores[i], model);
      for (char name[2] = "a"; name[0] < 'a' + NAMES; name[0]++)
        assert_same (stores[i], model, name);
      store_free (stores[i]);
    }
  sp_model_free (model);
  g_rand_free (random);
}

static void
test_random (void)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    {
      g_test_message ("seed %u", seed);
      run_random (seed);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  log_setup ("test", LOG_ERROR, false);
  g_test_add_func ("/store/never-reverts", test_never_reverts);
  g_test_add_func ("/store/no-resurrection", test_no_resurrection);
  g_test_add_func ("/store/unknown-schema", test_unknown_schema);
  g_test_add_func ("/store/two-versions", test_two_versions);
  g_test_add_func ("/store/part-with-gap", test_part_with_gap);
  g_test_add_func ("/store/deleted-in-gap", test_deleted_in_gap);
  g_test_add_func ("/store/age", test_age);
  g_test_add_func ("/store/events", test_events);
  g_test_add_func ("/store/random", test_random);
  return g_test_run ();
}
