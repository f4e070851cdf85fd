/* Intrusive doubly linked list: the node lives inside the element, so that
   linking and unlinking never allocate and cannot fail.  A head is a node
   linked to itself.  */

#ifndef BASE_LIST_H
#define BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

typedef struct list_node
{
  struct list_node *prev;
  struct list_node *next;
} list_node_t;

/* The element of TYPE that holds NODE as MEMBER.  */
#define list_entry(node, type, member)                                        \
  ((type *)((char *)(node)-offsetof (type, member)))

#define list_for_each(node, head)                                             \
  for (list_node_t *node = (head)->next; node != (head); node = node->next)

/* As list_for_each, and NODE may be unlinked in the body.  */
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

/* True for a node that is in a list; needs list_init at creation.  */
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

/* Unlinks NODE and leaves it linked to itself; harmless when repeated.  */
static inline void
list_remove (list_node_t *node)
{
  node->prev->next = node->next;
  node->next->prev = node->prev;
  list_init (node);
}

#endif
