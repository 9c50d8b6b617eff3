/** Part of verbenamast. */
package org.verbenamast.wire;
