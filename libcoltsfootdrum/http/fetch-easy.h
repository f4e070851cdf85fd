/* Configures a libcurl easy handle for a request of the HTTP client.

   libcurl resends a request by itself if a persistent connection turns out to
   be closed, even a POST that the server has already run: the caller would see
   one response and the endpoint two requests.  Therefore only a request that
   may be repeated uses a persistent connection; on a fresh connection libcurl
   never resends.  */

#ifndef HTTP_FETCH_EASY_H
#define HTTP_FETCH_EASY_H

#include "http/fetch.h"

#include <curl/curl.h>

/* Sets method, URL, headers, body and timeouts of REQUEST, which need not
   outlive the call.  The returned list must outlive EASY.  */
struct curl_slist *fetch_easy_setup (CURL *easy,
                                     const fetch_request_t *request);

#endif
