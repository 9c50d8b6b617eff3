/** The manifest: which route leads to which service, what may be repeated, and the limits of requests. */
package org.verbenamast.core.manifest;
