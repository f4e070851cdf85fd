/* Rollouts: the standing of endpoints, by their versions and the orders.  */

#include "relay/rol-private.h"

#include "base/log.h"

/* The listed endpoints of one service.  */
typedef struct
{
  const rol_rollout_t *rollout; /* NULL: no order */
  bool has_baseline;            /* any of another version than the target's */
  bool has_verified;
  GHashTable *versions;    /* set; owned by the endpoints */
  GHashTable *verified;    /* set of these */
  int64_t oldest_revision; /* of the endpoint listed first */
  const char *oldest_version;
} group_t;

static void
group_free (void *data)
{
  group_t *group = data;

  g_hash_table_unref (group->versions);
  g_hash_table_unref (group->verified);
  g_free (group);
}

static const char *
get_version (const edp_t *edp)
{
  return edp->report->version != NULL ? edp->report->version : "";
}

static bool
is_target (const rol_rollout_t *rollout, const edp_t *edp)
{
  return rollout != NULL
         && g_str_equal (get_version (edp), rollout->order->target);
}

static group_t *
get_or_add_group (const rol_t *rol, GHashTable *groups, const char *service)
{
  group_t *group = g_hash_table_lookup (groups, service);

  if (group != NULL)
    return group;
  group = g_new0 (group_t, 1);
  group->rollout = g_hash_table_lookup (rol->rollouts, service);
  group->versions = g_hash_table_new (g_str_hash, g_str_equal);
  group->verified = g_hash_table_new (g_str_hash, g_str_equal);
  group->oldest_revision = G_MAXINT64;
  g_hash_table_insert (groups, (void *)service, group);
  return group;
}

/* An endpoint is verified once the orders are known as of its first listing:
   none of them names its version then.  */
static void
add_to_group (const rol_t *rol, group_t *group, edp_t *edp)
{
  edp->is_verified
      |= rol->revision > 0 && rol->revision >= edp->listed_revision;
  group->has_baseline |= !is_target (group->rollout, edp);
  g_hash_table_add (group->versions, (void *)get_version (edp));
  if (edp->is_verified)
    {
      group->has_verified = true;
      g_hash_table_add (group->verified, (void *)get_version (edp));
    }
  if (edp->listed_revision >= group->oldest_revision)
    return;
  group->oldest_revision = edp->listed_revision;
  group->oldest_version = get_version (edp);
}

/* Returns the standing of an endpoint whose version no order names.  While the
   orders are not known, the version that was listed first is used: the others
   may be targets.  */
static edp_standing_t
choose_unordered (const group_t *group, const edp_t *edp)
{
  if (edp->is_verified
      || g_hash_table_contains (group->verified, get_version (edp)))
    return EDP_CURRENT;
  if (!group->has_verified
      && g_str_equal (get_version (edp), group->oldest_version))
    return EDP_CURRENT;
  return EDP_UNVERIFIED;
}

/* Returns the standing of an endpoint of the target version.  */
static edp_standing_t
choose_target (const group_t *group, const edp_t *edp)
{
  const rol_rollout_t *rollout = group->rollout;
  rol_state_t state = rollout->order->state;
  bool is_only_version = !group->has_baseline;

  if (state == ROL_COMPLETED)
    return EDP_CURRENT;
  /* An order for the only version in use moves nothing.  */
  if (is_only_version && !rollout->had_baseline && state != ROL_ROLLED_BACK)
    return EDP_CURRENT;
  if (rol_is_open (rollout))
    return EDP_CANARY;
  /* Listed after the end of the rollout, and the only version: a release.  */
  return is_only_version && edp->listed_revision > rollout->order->revision
             ? EDP_CURRENT
             : EDP_REJECTED;
}

static edp_standing_t
choose_standing (const group_t *group, const edp_t *edp)
{
  if (is_target (group->rollout, edp))
    return choose_target (group, edp);
  if (group->rollout != NULL && group->rollout->order->state == ROL_COMPLETED
      && edp->listed_revision <= group->rollout->order->revision)
    return EDP_REPLACED;
  if (group->rollout != NULL
      && g_hash_table_contains (group->rollout->rejected, get_version (edp)))
    return EDP_REJECTED;
  return choose_unordered (group, edp);
}

static void
set_standing (edp_t *edp, edp_standing_t standing)
{
  if (edp->standing == standing)
    return;
  log_info ("rollout",
            "An endpoint's standing changed: endpoint=%s service=%s "
            "version=%s from=%s to=%s.",
            edp->report->id, edp->report->service, get_version (edp),
            edp_standing_name (edp->standing), edp_standing_name (standing));
  edp->standing = standing;
}

/* For g_hash_table_foreach_remove: returns whether VERSION is not listed.  */
static gboolean
is_version_gone (void *version, void *value, void *user)
{
  const group_t *group = user;

  return group == NULL || !g_hash_table_contains (group->versions, version);
}

/* Updates what ROLLOUT needs to know of the listed endpoints.  Returns whether
   the rollout is over and its target is gone.  */
static bool
note_group (rol_rollout_t *rollout, group_t *group)
{
  rollout->has_endpoints = group != NULL;
  rollout->had_baseline |= group != NULL && group->has_baseline;
  g_hash_table_foreach_remove (rollout->rejected, is_version_gone, group);
  return rollout->is_withdrawn
         && is_version_gone (rollout->order->target, NULL, group)
         && g_hash_table_size (rollout->rejected) == 0;
}

static void
note_groups (const rol_t *rol, GHashTable *groups)
{
  GHashTableIter each;
  void *service;
  void *rollout;

  g_hash_table_iter_init (&each, rol->rollouts);
  while (g_hash_table_iter_next (&each, &service, &rollout))
    {
      group_t *group = g_hash_table_lookup (groups, service);

      if (!note_group (rollout, group))
        continue;
      if (group != NULL)
        group->rollout = NULL;
      g_hash_table_iter_remove (&each);
    }
}

static void
add_list (const rol_t *rol, GHashTable *groups, list_node_t *list)
{
  list_for_each (node, list)
    {
      edp_t *edp = list_entry (node, edp_t, node);

      add_to_group (rol, get_or_add_group (rol, groups, edp->report->service),
                    edp);
    }
}

static void
set_standings (rol_t *rol, GHashTable *groups, list_node_t *list)
{
  list_for_each (node, list)
    {
      edp_t *edp = list_entry (node, edp_t, node);
      const group_t *group
          = g_hash_table_lookup (groups, edp->report->service);

      set_standing (edp, choose_standing (group, edp));
      if (edp->standing == EDP_UNVERIFIED)
        rol->required_revision
            = MAX (rol->required_revision, edp->listed_revision);
    }
}

void
rol_update_endpoints (rol_t *rol)
{
  g_autoptr (GHashTable) groups
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, group_free);

  if (rol->settings.exposure_share <= 0.
      || (!rol->must_update
          && rol->endpoints_epoch == edp_set_get_epoch (rol->endpoints)))
    return;
  rol->must_update = false;
  rol->endpoints_epoch = edp_set_get_epoch (rol->endpoints);
  rol->required_revision = 0;
  add_list (rol, groups, edp_set_endpoints (rol->endpoints));
  add_list (rol, groups, edp_set_others (rol->endpoints));
  note_groups (rol, groups);
  set_standings (rol, groups, edp_set_endpoints (rol->endpoints));
  set_standings (rol, groups, edp_set_others (rol->endpoints));
}
