/** The HTTP headers of requests and answers. */
package org.verbenamast.node.http;
