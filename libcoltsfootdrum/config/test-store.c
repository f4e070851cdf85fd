/* Tests of the store with answers of the platform and parts from peers in any
   order: it never goes back to an older revision, and all stores converge to
   the same configuration.  */

#include "base/log.h"
#include "config/test-store-help.h"

#include <string.h>

static void
test_never_reverts (void)
{
  /* A zone is taken out of service; then a lagging replica answers a list, and
     an old watch answer arrives late.  The zone must stay out.  */
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);
  g_autofree char *old_list = NULL;
  g_autofree char *old_watch = NULL;

  write_zone (model, "a", ZONE_IN);
  old_list = sp_model_list (model, ALL_KINDS);
  old_watch = sp_model_list_changes (model, 0, ALL_KINDS);
  write_zone (model, "a", ZONE_OUT);
  apply_list (store, model);
  g_assert_true (store_is_zone_out (store, "a"));
  apply_answer (store, old_list, true);
  apply_answer (store, old_watch, false);
  g_assert_true (store_is_zone_out (store, "a"));
  g_assert_cmpuint (store_get_revision (store), ==, 2);
  sp_model_free (model);
}

static void
test_no_resurrection (void)
{
  /* A record is deleted before this process starts, so that the store never
     had it; then a lagging replica still lists it.  The record must not come
     back into force, nor the old answer renew the configuration's age.  */
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);
  g_autofree char *old_list = NULL;
  g_autoptr (JsonObject) old = NULL;

  write_zone (model, "a", ZONE_OUT);
  old_list = sp_model_list (model, ALL_KINDS);
  old = parse_object (old_list);
  write_zone (model, "a", NULL);
  apply_list (store, model); /* at 1000 */
  store_apply_objects (store, old, 9000);
  g_assert_null (store_get (store, REC_ZONE, "a"));
  g_assert_cmpuint (store_get_age_ms (store, 9000), ==, 8000);
  sp_model_free (model);
}

static void
test_unknown_schema (void)
{
  /* A newer writer uses schema 9.  The last valid record stays in force here;
     a peer that is behind still gets the new text, since it may be a newer
     program.  */
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);
  msg_config_part_t part;

  write_zone (model, "a", ZONE_OUT);
  apply_list (store, model);
  write_zone (model, "a", ZONE_NEWER_SCHEMA);
  write_zone (model, "b", ZONE_NEWER_SCHEMA);
  apply_list (store, model);
  g_assert_cmpuint (store_get_revision (store), ==, 3);
  g_assert_true (store_is_zone_out (store, "a"));
  g_assert_null (store_get (store, REC_ZONE, "b"));
  store_make_part (store, ROLE_ROUTER, &(msg_config_ask_t){ 0 }, 0, &part);
  g_assert_cmpuint (part.count, ==, 1);
  g_assert_nonnull (strstr (part.records[0], "\"schema\":9"));
  g_assert_null (strstr (part.records[0], "\"schema\":2"));
  store_part_clear (&part);
  write_zone (model, "a", ZONE_IN);
  apply_list (store, model);
  g_assert_false (store_is_zone_out (store, "a"));
  sp_model_free (model);
}

static void
test_two_versions (void)
{
  /* During an upgrade an old program can parse only version 1.  A writer of
     version 2 takes a zone out of service.  The old program keeps its last
     record, logs that, and passes on the new text, so that a new program which
     gets changes only from the old one is up to date.  Once the record is
     written as version 1 again, all agree.  */
  g_autoptr (store_t) new_store = store_new (NULL, NULL, NULL);
  g_autoptr (store_t) old_store = store_new (NULL, NULL, NULL);
  g_autoptr (store_t) behind = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);

  old_store->newest_schema = 1;
  write_zone (model, "a", ZONE_IN);
  apply_list (new_store, model);
  apply_part (old_store, new_store, 0);
  apply_part (behind, old_store, 0);
  write_zone (model, "a", ZONE_OUT);
  apply_list (new_store, model);
  apply_part (old_store, new_store, 1);
  apply_part (behind, old_store, 1);
  g_assert_true (store_is_zone_out (new_store, "a"));
  g_assert_false (store_is_zone_out (old_store, "a"));
  g_assert_true (store_is_zone_out (behind, "a"));
  g_assert_cmpuint (store_get_revision (old_store), ==, 2);
  write_zone (model, "a", "{\"schema\":1,\"out\":true}");
  apply_list (new_store, model);
  apply_part (old_store, new_store, 2);
  g_assert_true (store_is_zone_out (old_store, "a"));
  sp_model_free (model);
}

static void
test_part_with_gap (void)
{
  /* A part that begins after the revision in force would hide the changes in
     between.  */
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  const char *record
      = "{\"kind\":\"availability-zone\",\"name\":\"a\",\"version\":\"v\","
        "\"revision\":9,\"spec\":" ZONE_OUT "}";
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
  /* A record is deleted while one store is disconnected and the other has not
     started.  The late store doesn't know of the deletion; the disconnected
     one must delete the record nevertheless, or it would stay in force for
     ever.  */
  g_autoptr (store_t) cut_off = store_new (NULL, NULL, NULL);
  g_autoptr (store_t) late = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);

  write_zone (model, "a", ZONE_OUT);
  apply_list (cut_off, model);
  write_zone (model, "a", NULL);
  write_zone (model, "b", ZONE_IN);
  apply_list (late, model);
  apply_part (cut_off, late, store_get_revision (cut_off));
  g_assert_null (store_get (cut_off, REC_ZONE, "a"));
  g_assert_nonnull (store_get (cut_off, REC_ZONE, "b"));
  g_assert_cmpuint (store_get_revision (cut_off), ==, 3);
  sp_model_free (model);
}

static void
test_age (void)
{
  /* Parts carry the age of the configuration, so that an old configuration
     doesn't seem fresh after it passed through a chain of peers.  */
  g_autoptr (store_t) first = store_new (NULL, NULL, NULL);
  g_autoptr (store_t) second = store_new (NULL, NULL, NULL);
  sp_model_t *model = sp_model_new (100);

  g_assert_cmpuint (store_get_age_ms (first, 5000), ==, UINT32_MAX);
  apply_part (second, first, 0);
  g_assert_cmpuint (store_get_age_ms (second, 5000), ==, UINT32_MAX);
  write_zone (model, "a", ZONE_IN);
  apply_list (first, model);     /* at 1000 */
  apply_part (second, first, 0); /* at 2000 */
  g_assert_cmpuint (store_get_age_ms (first, 5000), ==, 4000);
  g_assert_cmpuint (store_get_age_ms (second, 5000), ==, 4000);
  sp_model_free (model);
}

typedef struct
{
  unsigned records;
  unsigned deleted;
} event_counts_t;

static void
on_record (void *user, const rec_t *record, cfd_time_t now)
{
  event_counts_t *counts = user;

  counts->records++;
  if (record->deleted)
    counts->deleted++;
}

static void
test_events (void)
{
  const store_events_t events = { .record = on_record };
  event_counts_t counts = { 0 };
  g_autoptr (store_t) store = store_new (NULL, &events, &counts);
  sp_model_t *model = sp_model_new (100);

  write_zone (model, "a", ZONE_IN);
  write_zone (model, "b", ZONE_IN);
  apply_list (store, model);
  apply_list (store, model);
  g_assert_cmpuint (counts.records, ==, 2);
  write_zone (model, "a", NULL);
  apply_list (store, model);
  apply_list (store, model);
  g_assert_cmpuint (counts.records, ==, 3);
  g_assert_cmpuint (counts.deleted, ==, 1);
  sp_model_free (model);
}

/* ---- random sequences of events ---- */

#define STORES 3
#define STEPS 3000
#define NAMES 6

/* Checks that STORE has the newest record of zone NAME in MODEL.  */
static void
assert_zone_matches (const store_t *store, const sp_model_t *model,
                     const char *name)
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

/* Performs one random event; some bring old answers late.  */
static void
random_step (GRand *random, sp_model_t *model, store_t **stores,
             GPtrArray *late)
{
  static const char *const zone_specs[]
      = { ZONE_IN, ZONE_OUT, ZONE_NEWER_SCHEMA, NULL };
  store_t *store = stores[g_rand_int_range (random, 0, STORES)];
  store_t *other = stores[g_rand_int_range (random, 0, STORES)];
  char name[2] = { (char)('a' + g_rand_int_range (random, 0, NAMES)), '\0' };

  switch (g_rand_int_range (random, 0, 6))
    {
    case 0:
    case 1:
      write_zone (
          model, name,
          zone_specs[g_rand_int_range (random, 0, G_N_ELEMENTS (zone_specs))]);
      g_ptr_array_add (late, sp_model_list (model, ALL_KINDS));
      break;
    case 2:
      apply_part (store, other, store_get_revision (store));
      break;
    case 3:
      /* The receiver has advanced since it asked.  */
      apply_part (store, other,
                  g_rand_int_range (random, 0,
                                    (gint32)store_get_revision (store) + 1));
      break;
    case 4:
      if (late->len > 0)
        apply_answer (
            store,
            g_ptr_array_index (
                late, g_rand_int_range (random, 0, (gint32)late->len)),
            true);
      break;
    default:
      {
        g_autofree char *changes = sp_model_list_changes (
            model, store_get_revision (store), ALL_KINDS);

        if (changes != NULL)
          apply_answer (store, changes, false);
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
              assert_zone_matches (stores[i], model, name);
        }
    }
  for (int i = 0; i < STORES; i++)
    {
      apply_list (stores[i], model);
      for (char name[2] = "a"; name[0] < 'a' + NAMES; name[0]++)
        assert_zone_matches (stores[i], model, name);
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
