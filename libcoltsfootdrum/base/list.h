/* Intrusive doubly linked list.  The node is embedded in the element, so that
   linking and unlinking don't allocate and can't fail.  The head of an empty
   list is a node linked to itself.  */

#ifndef BASE_LIST_H
#define BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

typedef struct list_node
{
  struct list_node *prev;
  struct list_node *next;
} list_node_t;

/* Returns the element of TYPE in which NODE is embedded as MEMBER.  */
#define list_entry(node, type, member)                                        \
  ((type *)((char *)(node)-offsetof (type, member)))

#define list_for_each(node, head)                                             \
  for (list_node_t *node = (head)->next; node != (head); node = node->next)

/* Like list_for_each, but the body may unlink NODE.  */
#define list_for_each_safe(node, head)                                        \
  for (list_node_t *node = (head)->next, *node##_next = node->next;           \
       node != (head); node = node##_next, node##_next = node->next)

static inline void
list_init (list_node_t *head)
{
  head->prev = head;
  head->next = head;
}

static inline bool
list_is_empty (const list_node_t *head)
{
  return head->next == head;
}

/* Returns whether NODE is in a list; NODE must have been initialized by
   list_init.  */
static inline bool
list_is_linked (const list_node_t *node)
{
  return node->next != node;
}

static inline void
list_append (list_node_t *head, list_node_t *node)
{
  node->prev = head->prev;
  node->next = head;
  head->prev->next = node;
  head->prev = node;
}

static inline void
list_prepend (list_node_t *head, list_node_t *node)
{
  list_append (head->next, node);
}

/* Unlinks NODE and links it to itself, so that a second call does nothing.  */
static inline void
list_remove (list_node_t *node)
{
  node->prev->next = node->next;
  node->next->prev = node->prev;
  list_init (node);
}

#endif
