/* Definitions shared by the files of this module: edp.c (the platform's list,
   state of each endpoint) and edp-cells.c (endpoints of this router's cell).
 */

#ifndef RELAY_EDP_PRIVATE_H
#define RELAY_EDP_PRIVATE_H

#include "relay/edp.h"

/* The endpoints of one service.  */
typedef struct
{
  char *name;
  GPtrArray *all;
  GPtrArray *near; /* of this router's cell */
} edp_service_t;

struct edp_set
{
  struct ev_loop *loop;
  list_node_t list;   /* edp_t in use: of this router's cell, or used lately */
  list_node_t others; /* edp_t of other cells */
  list_node_t retired;  /* edp_t no longer in use, until their requests end */
  GHashTable *by_id;    /* id to edp_t, without retired ones */
  GHashTable *by_hash;  /* hash to edp_t, without retired ones */
  GHashTable *services; /* name to edp_service_t */
  unsigned list_number; /* of the list that is being applied */
  guint unlisted;       /* number of endpoints that the last list lacked */
  unsigned cell;
  unsigned cells;
  bool must_divide; /* endpoints came or went, or the cell changed */
  unsigned epoch;   /* see edp_set_get_epoch */
  bool has_new;     /* endpoints came into use, see edp_set_take_new */
  bool has_changed; /* the load on an endpoint, since it was last sent */
  GStrv zones_out;  /* availability zones out of service */
  bool has_doubts;  /* the warmth of an endpoint may be in doubt */
};

/* edp-cells.c */
/* For g_hash_table_new_full.  */
void edp_service_free (void *service);
/* Divides the endpoints anew, if that is necessary.  */
void edp_set_divide (edp_set_t *set);
/* Moves EDP, which is not near, out of the list of used endpoints unless it
   has connections.  */
void edp_set_drop_unused (edp_set_t *set, edp_t *edp);

#endif
