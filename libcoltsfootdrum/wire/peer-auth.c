/* Mutual authentication of a link by a shared secret.

     both      HELLO (nonce)
     dialler   PROOF = keyed hash (direction, both nonces, its HELLO)
     acceptor  checks it, then answers with its own PROOF

   Both nonces are in each hash, so a PROOF can't be replayed on another link.
   The direction is in it, so a PROOF can't be reflected to its sender.  The
   acceptor answers last, so a dialler that doesn't know the secret gets no
   hash for guessing it offline.  */

#include "wire/peer-private.h"

#include "base/log.h"
#include <sodium.h>
#include <string.h>

#define DIRECTION_DIALLER 'D'
#define DIRECTION_ACCEPTOR 'A'

static const char mac_context[] = "coltsfootdrum peer link 1";

void
auth_derive_key (const char *secret, uint8_t key[PEER_KEY_SIZE])
{
  crypto_generichash (key, PEER_KEY_SIZE, (const uint8_t *)secret,
                      strlen (secret), NULL, 0);
}

/* Computes the PROOF of the dialler's or the acceptor's side of LINK.  */
static void
make_mac (const peer_link_t *link, bool is_of_dialler,
          uint8_t mac[PEER_MAC_SIZE])
{
  bool is_own = is_of_dialler == link->is_dialled;
  const uint8_t *dialler = link->is_dialled ? link->nonce : link->peer_nonce;
  const uint8_t *acceptor = link->is_dialled ? link->peer_nonce : link->nonce;
  uint8_t direction = is_of_dialler ? DIRECTION_DIALLER : DIRECTION_ACCEPTOR;
  crypto_generichash_state state;
  const uint8_t *hello;
  gsize length;

  hello = g_bytes_get_data (is_own ? link->hello : link->peer_hello, &length);
  crypto_generichash_init (&state, link->hub->key, PEER_KEY_SIZE,
                           PEER_MAC_SIZE);
  crypto_generichash_update (&state, (const uint8_t *)mac_context,
                             sizeof mac_context);
  crypto_generichash_update (&state, &direction, sizeof direction);
  crypto_generichash_update (&state, dialler, MSG_NONCE_SIZE);
  crypto_generichash_update (&state, acceptor, MSG_NONCE_SIZE);
  crypto_generichash_update (&state, hello, length);
  crypto_generichash_final (&state, mac, PEER_MAC_SIZE);
}

static void
send_proof (peer_link_t *link)
{
  uint8_t mac[PEER_MAC_SIZE];
  msg_t proof = { .kind = MSG_PROOF };

  make_mac (link, link->is_dialled, mac);
  proof.u.proof.mac = (msg_bytes_t){ mac, sizeof mac };
  (void)link_send (link, &proof);
}

void
auth_send_hello (peer_link_t *link)
{
  peer_hub_t *hub = link->hub;
  size_t prefix = sizeof (uint32_t);
  msg_t hello = { .kind = MSG_HELLO };
  size_t start;

  randombytes_buf (link->nonce, sizeof link->nonce);
  hello.u.hello = (msg_hello_t){ .protocol = MSG_PROTOCOL,
                                 .role = hub->role,
                                 .instance = hub->instance,
                                 .zone = hub->zone,
                                 .incarnation = hub->incarnation,
                                 .nonce = { link->nonce, MSG_NONCE_SIZE },
                                 .short_frames = hub->short_frames };
  start = link->out->len;
  if (!link_send (link, &hello))
    return;
  link->hello = g_bytes_new (link->out->data + start + prefix,
                             link->out->len - start - prefix);
  link->state = LINK_AWAITING_HELLO;
}

static const char *
find_hello_fault (const peer_link_t *link, const msg_hello_t *hello)
{
  if (hello->protocol != MSG_PROTOCOL)
    return "speaks another protocol version";
  if (hello->nonce.length != MSG_NONCE_SIZE)
    return "sent a nonce of a wrong size";
  if (memcmp (hello->nonce.data, link->nonce, MSG_NONCE_SIZE) == 0)
    return "sent our own nonce back";
  if (hello->instance[0] == 0)
    return "has no instance name";
  if (strcmp (hello->instance, link->hub->instance) == 0)
    return "has our own instance name";
  if (link->is_dialled && strcmp (hello->instance, link->peer->instance) != 0)
    return "is not the instance that was dialled";
  return NULL;
}

static bool
handle_hello (peer_link_t *link, const msg_hello_t *hello,
              const uint8_t *payload, size_t length)
{
  const char *fault = find_hello_fault (link, hello);

  if (fault != NULL)
    {
      log_warn ("peer", "Refused a link: peer=%s fault=%s.", hello->instance,
                fault);
      return false;
    }
  memcpy (link->peer_nonce, hello->nonce.data, MSG_NONCE_SIZE);
  link->peer_hello = g_bytes_new (payload, length);
  link->id.role = hello->role;
  link->id.instance = g_strdup (hello->instance);
  link->id.zone = g_strdup (hello->zone);
  link->id.incarnation = hello->incarnation;
  link->short_frames = link->hub->short_frames && hello->short_frames;
  link->state = LINK_AWAITING_PROOF;
  if (link->is_dialled)
    send_proof (link);
  return true;
}

static bool
handle_proof (peer_link_t *link, const msg_proof_t *proof, cfd_time_t now)
{
  uint8_t expected[PEER_MAC_SIZE];

  make_mac (link, !link->is_dialled, expected);
  if (proof->mac.length != sizeof expected
      || sodium_memcmp (proof->mac.data, expected, sizeof expected) != 0)
    {
      log_warn ("peer",
                "Refused a link: peer=%s fault=wrong proof; check that both "
                "sides have the same secret.",
                link->id.instance);
      return false;
    }
  if (!link->is_dialled)
    send_proof (link);
  hub_add_authenticated_link (link->hub, link, now);
  return true;
}

bool
auth_handle_frame (peer_link_t *link, const msg_t *message,
                   const uint8_t *payload, size_t length, cfd_time_t now)
{
  /* The owner gets no event, and so no revision, before the link is
     authenticated; the peer's HELLO is covered by its PROOF.  */
  link_record_revision (link, message);
  if (link->state == LINK_AWAITING_HELLO && message->kind == MSG_HELLO)
    return handle_hello (link, &message->u.hello, payload, length);
  if (link->state == LINK_AWAITING_PROOF && message->kind == MSG_PROOF)
    return handle_proof (link, &message->u.proof, now);
  log_warn ("peer", "Refused a link: fault=frame %s before the proof.",
            msg_kind_name (message->kind));
  return false;
}
