/** Decides the order of the requests on a caller's connection, which may be sent before earlier ones are answered. */
package org.verbenamast.core.client.pipeline;
