/** Part of verbenamast. */
package org.verbenamast.ctl;
