/** The operators' manifest: the routes to services, the requests that may be repeated, and the limits of requests. */
package org.verbenamast.core.manifest;
