/* Body memory.  */

#include "relay/bdm.h"

struct bdm_account
{
  list_node_t node; /* among the accounts with waiting claims */
  char *name;
  list_node_t waiting;  /* bdm_claim_t, the oldest first */
  size_t held;          /* by all claims */
  size_t waiting_bytes; /* wanted by the waiting ones */
  unsigned claim_count; /* that hold or wait */
};

struct bdm
{
  GHashTable *accounts; /* name to bdm_account_t */
  list_node_t waiting;  /* bdm_account_t */
  size_t budget;
  size_t held;
  unsigned waiting_count;
};

static void
account_free (void *data)
{
  bdm_account_t *account = data;

  list_remove (&account->node);
  g_free (account->name);
  g_free (account);
}

bdm_t *
bdm_new (void)
{
  bdm_t *bdm = g_new0 (bdm_t, 1);

  bdm->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, account_free);
  list_init (&bdm->waiting);
  return bdm;
}

void
bdm_free (bdm_t *bdm)
{
  if (bdm == NULL)
    return;
  g_hash_table_unref (bdm->accounts);
  g_free (bdm);
}

void
bdm_set_budget (bdm_t *bdm, size_t bytes)
{
  bdm->budget = bytes;
}

size_t
bdm_get_budget (const bdm_t *bdm)
{
  return bdm->budget;
}

void
bdm_claim_init (bdm_claim_t *claim)
{
  *claim = (bdm_claim_t){ 0 };
  list_init (&claim->node);
}

static bdm_account_t *
find_or_add_account (bdm_t *bdm, const char *name)
{
  bdm_account_t *account = g_hash_table_lookup (bdm->accounts, name);

  if (account != NULL)
    return account;
  account = g_new0 (bdm_account_t, 1);
  account->name = g_strdup (name);
  list_init (&account->node);
  list_init (&account->waiting);
  g_hash_table_insert (bdm->accounts, account->name, account);
  return account;
}

/* Returns whether ACCOUNT may hold BYTES more now.  */
static bool
fits (const bdm_t *bdm, const bdm_account_t *account, size_t bytes)
{
  size_t left;

  if (bdm->budget == 0)
    return true;
  if (bytes > bdm->budget || bdm->held > bdm->budget - bytes)
    return false;
  left = bdm->budget - bdm->held - bytes;
  return account->held == 0 || account->held + bytes <= BDM_FREE_FACTOR * left;
}

static void
hold (bdm_t *bdm, bdm_claim_t *claim, size_t bytes)
{
  claim->held += bytes;
  bdm->held += bytes;
  if (claim->account != NULL)
    claim->account->held += bytes;
}

static void
start_waiting (bdm_t *bdm, cfd_time_t now, bdm_claim_t *claim, size_t bytes)
{
  bdm_account_t *account = claim->account;

  claim->wanted = bytes;
  claim->waiting_since = now;
  if (claim->held > 0)
    list_prepend (&account->waiting, &claim->node);
  else
    list_append (&account->waiting, &claim->node);
  account->waiting_bytes += bytes;
  bdm->waiting_count++;
  if (!list_is_linked (&account->node))
    list_append (&bdm->waiting, &account->node);
}

static void
stop_waiting (bdm_t *bdm, bdm_claim_t *claim)
{
  bdm_account_t *account = claim->account;

  if (claim->wanted == 0)
    return;
  account->waiting_bytes -= claim->wanted;
  claim->wanted = 0;
  list_remove (&claim->node);
  bdm->waiting_count--;
  if (list_is_empty (&account->waiting))
    list_remove (&account->node);
}

bdm_outcome_t
bdm_reserve (bdm_t *bdm, cfd_time_t now, bdm_claim_t *claim, const char *name,
             size_t bytes)
{
  bdm_account_t *account = find_or_add_account (bdm, name);
  bool is_first = list_is_empty (&account->waiting) || claim->held > 0;

  if (claim->account == NULL)
    {
      claim->account = account;
      account->claim_count++;
    }
  if (fits (bdm, account, bytes))
    {
      hold (bdm, claim, bytes);
      return BDM_GRANTED;
    }
  if (bytes > bdm->budget
      || (!is_first && account->waiting_bytes + bytes > account->held))
    return BDM_REFUSED;
  start_waiting (bdm, now, claim, bytes);
  return BDM_WAITING;
}

void
bdm_count (bdm_t *bdm, bdm_claim_t *claim, size_t bytes)
{
  hold (bdm, claim, bytes);
}

bdm_claim_t *
bdm_grant_next (bdm_t *bdm)
{
  bdm_account_t *least = NULL;
  bdm_claim_t *claim;

  list_for_each (node, &bdm->waiting)
    {
      bdm_account_t *account = list_entry (node, bdm_account_t, node);

      claim = list_entry (account->waiting.next, bdm_claim_t, node);
      if ((least == NULL || account->held < least->held)
          && fits (bdm, account, claim->wanted))
        least = account;
    }
  if (least == NULL)
    return NULL;
  claim = list_entry (least->waiting.next, bdm_claim_t, node);
  hold (bdm, claim, claim->wanted);
  stop_waiting (bdm, claim);
  return claim;
}

void
bdm_release (bdm_t *bdm, bdm_claim_t *claim)
{
  bdm_account_t *account = claim->account;

  stop_waiting (bdm, claim);
  bdm->held -= claim->held;
  if (account != NULL)
    {
      account->held -= claim->held;
      if (--account->claim_count == 0)
        g_hash_table_remove (bdm->accounts, account->name);
    }
  bdm_claim_init (claim);
}

size_t
bdm_get_held (const bdm_t *bdm)
{
  return bdm->held;
}

size_t
bdm_get_account_held (const bdm_claim_t *claim)
{
  return claim->account != NULL ? claim->account->held : 0;
}

unsigned
bdm_count_waiting (const bdm_t *bdm)
{
  return bdm->waiting_count;
}
