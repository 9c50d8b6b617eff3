/** The planned stop of a node: until when it takes requests, and when it exits. */
package org.verbenamast.core.stop;
